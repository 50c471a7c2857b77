#include "request_lines.h"

#include <nlohmann/json.hpp>

#include "acaciasill/decide/request_path.h"
#include "acaciasill/support/result_code.h"

namespace acaciasill::replay {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr std::uint32_t queue_places = 64;
constexpr std::uint32_t duplicate_places = 64;

// One upstream's gate with its queue and the control of its thresholds.
struct replayed_gate {
  replayed_gate(const decide::gate_view& chosen, std::uint32_t limit)
      : view(chosen), organisations(static_cast<std::uint32_t>(chosen.organisations.size())),
        state(organisations, limit), queue(organisations, queue_places), controller(organisations) {
  }

  decide::gate_view view;
  std::uint32_t organisations;
  decide::gate state;
  decide::wait_queue queue;
  decide::threshold_controller controller;
};

decide::request_facts read_request(const json& line, support::time_point now) {
  decide::request_facts request;
  request.id = {line.value("id_high", std::uint64_t{0}), line.at("id").get<std::uint64_t>()};
  request.holds_finished_work = line.value("holds_finished_work", false);
  request.level = decide::make_level(line.value("rank", std::uint8_t{0}),
                                     request.holds_finished_work, request.id);
  request.organisation = line.value("organisation", 0U);
  request.deadline = now + support::milliseconds(line.value("deadline_ms", 2000));
  return request;
}

class request_lines : public line_reader {
public:
  const char* key() const override { return "request_path"; }

  absl::Status apply(const json& line, session_context& context) override {
    const auto what = line.at("request_path").get<std::string>();
    output_ = {{"at_ms", context.at_ms}, {"request_path", what}};
    now_ = context.bag.now();
    random_ = &context.random;
    absl::Status status = apply_named(what, line);
    if (status.ok()) {
      context.output << output_.dump() << '\n';
    }
    return status;
  }

private:
  absl::Status apply_named(const std::string& what, const json& line) {
    if (what == "gate") {
      return make_gate(line);
    }
    if (what == "budget") {
      const auto minted = line.at("minted").get<std::uint32_t>();
      budgets_[line.at("name")] = std::make_unique<decide::attempt_budget>(minted);
      return absl::OkStatus();
    }
    if (what == "lend" || what == "return" || what == "retry") {
      return apply_budget(what, line);
    }
    if (what == "begin" || what == "end") {
      return apply_duplicate(what, line);
    }
    return apply_gate(what, line);
  }

  absl::Status make_gate(const json& line) {
    decide::gate_view view;
    for (const auto& share : line.at("organisations")) {
      view.organisations.push_back({share.value("guaranteed", 0.0), share.value("weight", 1.0)});
    }
    const auto limit = line.at("limit").get<std::uint32_t>();
    gates_[line.at("name")] = std::make_unique<replayed_gate>(view, limit);
    return absl::OkStatus();
  }

  absl::Status apply_gate(const std::string& what, const json& line) {
    const auto found = gates_.find(line.at("gate").get<std::string>());
    if (found == gates_.end()) {
      return support::make_error(support::result_code::unknown_key, "no gate has this name");
    }
    replayed_gate& gate = *found->second;
    if (what == "admit") {
      admit(gate, line);
      return absl::OkStatus();
    }
    if (what == "finish") {
      const auto organisation = line.value("organisation", 0U);
      const auto took = support::milliseconds(line.value("took_ms", 10));
      decide::on_finish(gate.state, organisation, took);
      run_waiting(gate, organisation);
      return absl::OkStatus();
    }
    if (what == "drain") {
      gate.state.draining = true;
      return absl::OkStatus();
    }
    if (what == "adjust") {
      decide::adjust(gate.state, gate.view, gate.controller);
      output_["overloaded"] = gate.state.overloaded.load();
      return absl::OkStatus();
    }
    return support::make_error(support::result_code::unknown_key, "no decision is called " + what);
  }

  void admit(replayed_gate& gate, const json& line) {
    const decide::request_facts request = read_request(line, now_);
    output_["id"] = request.id.low;
    const auto decision = decide::admit(gate.state, gate.view, request, now_, *random_);
    if (decision.action == decide::admission::run) {
      output_["decision"] = "run";
      return;
    }
    if (decision.action == decide::admission::refuse) {
      output_["decision"] = "refuse";
      output_["code"] = support::describe(decision.code).name;
      return;
    }
    std::vector<decide::dropped_call> dropped;
    decide::enqueue(gate.queue, gate.state, gate.view, request, request.id.low, now_, dropped);
    output_["decision"] = "wait";
    print_dropped(dropped);
    run_waiting(gate, std::nullopt);
  }

  // Prints every waiting call that runs or is given up now.
  void run_waiting(replayed_gate& gate, std::optional<std::uint32_t> finished) {
    std::vector<decide::dropped_call> dropped;
    decide::drop_expired(gate.queue, gate.state, gate.view, now_, dropped);
    while (const auto next = decide::next_from_queue(gate.queue, gate.state, gate.view, now_,
                                                     dropped, finished)) {
      output_["runs"].push_back(next->handle);
    }
    print_dropped(dropped);
  }

  void print_dropped(const std::vector<decide::dropped_call>& dropped) {
    for (const auto& call : dropped) {
      output_["dropped"].push_back(
          {{"id", call.call.handle}, {"code", support::describe(call.code).name}});
    }
  }

  absl::Status apply_budget(const std::string& what, const json& line) {
    const auto found = budgets_.find(line.at("budget").get<std::string>());
    if (found == budgets_.end()) {
      return support::make_error(support::result_code::unknown_key, "no budget has this name");
    }
    decide::attempt_budget& budget = *found->second;
    if (what == "lend") {
      const std::uint32_t lent = decide::lend_attempts(budget);
      output_["lent"] = lent;
      budgets_[line.at("to")] = std::make_unique<decide::attempt_budget>(lent);
    }
    if (what == "return") {
      decide::return_attempts(budget, line.at("lent").get<std::uint32_t>(),
                              line.at("unused").get<std::uint32_t>());
    }
    if (what == "retry") {
      retry(budget, line);
    }
    output_["held"] = decide::held_attempts(budget);
    return absl::OkStatus();
  }

  void retry(decide::attempt_budget& budget, const json& line) {
    decide::failed_attempt failed;
    failed.not_run = line.value("not_run", false);
    failed.idempotent = line.value("idempotent", true);
    failed.overloaded_below = line.value("overloaded_below", false);
    failed.next_to_failure = line.value("next_to_failure", true);
    const auto number = line.value("code", std::uint16_t{2030});
    failed.code = support::code_from_number(number).value_or(failed.code);
    failed.tried = line.value("tried", 1U);
    failed.subset_size = line.value("subset_size", 3U);
    failed.retries = line.value("retries", 0U);
    failed.deadline = now_ + support::milliseconds(line.value("deadline_ms", 2000));
    const auto decision = decide::may_retry(budget, tokens_, failed, now_, *random_);
    output_["retry"] = decision.retry;
    output_["uses_budget"] = decision.uses_budget;
    output_["reason"] = static_cast<int>(decision.refused);
  }

  absl::Status apply_duplicate(const std::string& what, const json& line) {
    const decide::request_id id{0, line.at("id").get<std::uint64_t>()};
    const std::string name_of_key = line.value("idempotency_key", "");
    const auto call =
        decide::fingerprint(id, "stock", "POST", line.value("target", "/"), name_of_key);
    if (what == "end") {
      decide::end_call(duplicates_, tickets_[call]);
      return absl::OkStatus();
    }
    const auto ticket = decide::begin_call(duplicates_, call);
    output_["id"] = id.low;
    output_["check"] = ticket.check == decide::duplicate_check::first ? "first" : "duplicate";
    if (ticket.check == decide::duplicate_check::first) {
      tickets_[call] = ticket;
    }
    return absl::OkStatus();
  }

  std::map<std::string, std::unique_ptr<replayed_gate>> gates_;
  std::map<std::string, std::unique_ptr<decide::attempt_budget>> budgets_;
  std::map<decide::call_fingerprint, decide::duplicate_ticket> tickets_;
  decide::duplicate_table duplicates_{duplicate_places};
  decide::retry_tokens tokens_;
  ordered_json output_;
  support::time_point now_;
  support::random_source* random_ = nullptr;
};

} // namespace

std::unique_ptr<line_reader> make_request_lines() {
  return std::make_unique<request_lines>();
}

} // namespace acaciasill::replay

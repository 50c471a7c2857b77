#include "request_path_handler.h"

#include <nlohmann/json.hpp>

#include "acaciasill/decide/request_path.h"
#include "acaciasill/support/result_code.h"

namespace acaciasill::replay {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr std::uint32_t queue_capacity = 64;
constexpr std::uint32_t duplicate_table_capacity = 64;

// Admission gate of one upstream, with its wait queue and threshold controller.
struct replayed_gate {
  replayed_gate(const decide::gate_view& given_view, std::uint32_t limit)
      : view(given_view),
        organisations(static_cast<std::uint32_t>(given_view.organisations.size())),
        state(organisations, limit), queue(organisations, queue_capacity),
        controller(organisations) {}

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

class request_path_handler : public line_handler {
public:
  const char* key() const override { return "request_path"; }

  absl::Status apply(const json& line, session_context& context) override {
    const auto operation = line.at("request_path").get<std::string>();
    output_ = {{"at_ms", context.at_ms}, {"request_path", operation}};
    now_ = context.cluster.now();
    random_ = &context.random;
    absl::Status status = apply_operation(operation, line);
    if (status.ok()) {
      context.output << output_.dump() << '\n';
    }
    return status;
  }

private:
  absl::Status apply_operation(const std::string& operation, const json& line) {
    if (operation == "gate") {
      return make_gate(line);
    }
    if (operation == "budget") {
      const auto minted = line.at("minted").get<std::uint32_t>();
      budgets_[line.at("name")] = std::make_unique<decide::attempt_budget>(minted);
      return absl::OkStatus();
    }
    if (operation == "lend" || operation == "return" || operation == "retry") {
      return apply_budget(operation, line);
    }
    if (operation == "begin" || operation == "end") {
      return apply_duplicate_check(operation, line);
    }
    return apply_gate(operation, line);
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

  absl::Status apply_gate(const std::string& operation, const json& line) {
    const auto found = gates_.find(line.at("gate").get<std::string>());
    if (found == gates_.end()) {
      return support::make_error(support::result_code::unknown_key, "unknown gate");
    }
    replayed_gate& gate = *found->second;
    if (operation == "admit") {
      admit(gate, line);
      return absl::OkStatus();
    }
    if (operation == "finish") {
      const auto organisation = line.value("organisation", 0U);
      const auto elapsed = support::milliseconds(line.value("took_ms", 10));
      decide::on_finish(gate.state, organisation, elapsed);
      dequeue_waiting(gate, organisation);
      return absl::OkStatus();
    }
    if (operation == "drain") {
      gate.state.draining = true;
      return absl::OkStatus();
    }
    if (operation == "adjust") {
      decide::adjust(gate.state, gate.view, gate.controller);
      output_["overloaded"] = gate.state.overloaded.load();
      return absl::OkStatus();
    }
    return support::make_error(support::result_code::unknown_key, "unknown operation " + operation);
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
    append_dropped(dropped);
    dequeue_waiting(gate, std::nullopt);
  }

  // Adds the waiting calls that now start or are dropped to the output line.
  void dequeue_waiting(replayed_gate& gate, std::optional<std::uint32_t> finished) {
    std::vector<decide::dropped_call> dropped;
    decide::drop_expired(gate.queue, gate.state, gate.view, now_, dropped);
    while (const auto next = decide::next_from_queue(gate.queue, gate.state, gate.view, now_,
                                                     dropped, finished)) {
      output_["runs"].push_back(next->handle);
    }
    append_dropped(dropped);
  }

  void append_dropped(const std::vector<decide::dropped_call>& dropped) {
    for (const auto& call : dropped) {
      output_["dropped"].push_back(
          {{"id", call.call.handle}, {"code", support::describe(call.code).name}});
    }
  }

  absl::Status apply_budget(const std::string& operation, const json& line) {
    const auto found = budgets_.find(line.at("budget").get<std::string>());
    if (found == budgets_.end()) {
      return support::make_error(support::result_code::unknown_key, "unknown attempt budget");
    }
    decide::attempt_budget& budget = *found->second;
    if (operation == "lend") {
      const std::uint32_t lent = decide::lend_attempts(budget);
      output_["lent"] = lent;
      budgets_[line.at("to")] = std::make_unique<decide::attempt_budget>(lent);
    }
    if (operation == "return") {
      decide::return_attempts(budget, line.at("lent").get<std::uint32_t>(),
                              line.at("unused").get<std::uint32_t>());
    }
    if (operation == "retry") {
      decide_retry(budget, line);
    }
    output_["held"] = decide::held_attempts(budget);
    return absl::OkStatus();
  }

  void decide_retry(decide::attempt_budget& budget, const json& line) {
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

  absl::Status apply_duplicate_check(const std::string& operation, const json& line) {
    const decide::request_id id{0, line.at("id").get<std::uint64_t>()};
    const std::string idempotency_key = line.value("idempotency_key", "");
    const auto call =
        decide::fingerprint(id, "stock", "POST", line.value("target", "/"), idempotency_key);
    if (operation == "end") {
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
  decide::duplicate_table duplicates_{duplicate_table_capacity};
  decide::retry_tokens tokens_;
  ordered_json output_;
  support::time_point now_;
  support::random_source* random_ = nullptr;
};

} // namespace

std::unique_ptr<line_handler> make_request_handler() {
  return std::make_unique<request_path_handler>();
}

} // namespace acaciasill::replay

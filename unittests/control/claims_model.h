#ifndef ACACIASILL_UNITTESTS_CONTROL_CLAIMS_MODEL_H
#define ACACIASILL_UNITTESTS_CONTROL_CLAIMS_MODEL_H

#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "control/claims_fixture.h"

// Model of two daemons that claim keys in a table. Answers are lost, writes are delayed, the table
// is unavailable, and daemons crash and pause. An independent oracle counts the executions of each
// key.
namespace acaciasill::control::tests {

// One random action; the numbers are reduced to the range of valid choices.
struct model_action {
  int kind = 0;
  unsigned daemon = 0;
  unsigned choice = 0;
  unsigned amount = 0;
};

inline std::ostream& operator<<(std::ostream& out, const model_action& action) {
  return out << '{' << action.kind << ',' << action.daemon << ',' << action.choice << ','
             << action.amount << '}';
}

// State of one call in the oracle.
struct model_call {
  unsigned daemon = 0;
  unsigned incarnation = 0;
  std::string key;
  bool has_started = false;
  bool has_ended = false;
  run_outcome outcome = run_outcome::unknown;
};

class claims_model {
public:
  static constexpr int kind_count = 9;

  void apply(const model_action& action) {
    switch (action.kind) {
    case 0:
      return request_claim(action);
    case 1:
      return serve(action);
    case 2:
      return deliver_late_request(action);
    case 3:
      return advance_clock(action);
    case 4:
      return begin(action);
    case 5:
      return end(action);
    case 6:
      return crash(action);
    case 7:
      return abandon(action);
    default:
      return query_key(action);
    }
  }

  // Whether all invariants have held so far.
  bool invariants_hold() const { return invariants_hold_; }

private:
  void require(bool condition) { invariants_hold_ = invariants_hold_ && condition; }

  static std::string key_for(unsigned choice) {
    return std::string(1, static_cast<char>('a' + choice % 3));
  }
  unsigned index_of(const model_action& action) const { return action.daemon % 2; }

  // Number of executions of the key that happened or may have happened.
  int runs(const std::string& key) const {
    int count = 0;
    for (const auto& [number, call] : calls_) {
      const bool did_not_run = call.has_ended && call.outcome == run_outcome::not_run;
      count += call.key == key && call.has_started && !did_not_run ? 1 : 0;
    }
    return count;
  }
  bool has_outcome(const std::string& key, run_outcome outcome) const {
    for (const auto& [number, call] : calls_) {
      if (call.key == key && call.has_ended && call.outcome == outcome) {
        return true;
      }
    }
    return false;
  }

  // Delivers an event and checks all resulting actions.
  void handle_event(unsigned index, const claim_event& event) {
    auto& daemon = daemons_[index];
    daemon.handle_event(event, now_);
    for (const auto& [number, refusal] : daemon.refused) {
      require(!calls_.at(number).has_started);
      if (refusal.earlier && refusal.earlier != run_outcome::not_run) {
        require(has_outcome(calls_.at(number).key, *refusal.earlier));
      }
    }
    daemon.refused.clear();
    for (const auto& [query, answer] : daemon.answers) {
      check_answer(queries_.at(query), answer);
    }
    daemon.answers.clear();
    for (const auto& [key, row] : table_.rows) {
      require(parse_claim_row(row.value).has_value());
    }
  }
  void check_answer(const std::string& key, const key_answer& answer) {
    if (!answer.known) {
      return;
    }
    const bool is_free = !answer.row || answer.row->outcome == run_outcome::not_run;
    if (is_free) {
      require(runs(key) == 0);
      return;
    }
    if (answer.row->outcome) {
      require(has_outcome(key, *answer.row->outcome));
    }
  }

  void request_claim(const model_action& action) {
    const std::uint64_t number = ++last_number_;
    calls_[number] = {index_of(action), incarnations_[index_of(action)], key_for(action.choice)};
    const auto deadline = now_ + milliseconds(1 + action.amount % 400);
    handle_event(index_of(action),
                 claim_requested{number, "kwaeso", key_for(action.choice), deadline});
  }

  void serve(const model_action& action) {
    auto& requests = daemons_[index_of(action)].requests;
    if (requests.empty()) {
      return;
    }
    const auto request = requests[action.choice % requests.size()];
    requests.erase(requests.begin() + static_cast<std::ptrdiff_t>(action.choice % requests.size()));
    platform_answer lost{request.ticket, platform_end::unknown, {}, {}};
    switch (action.amount % 8) {
    case 0: // Not delivered; the result says so.
      lost.end = platform_end::failed_before;
      return handle_event(index_of(action), lost);
    case 1: // Not delivered; the result is unknown.
      return handle_event(index_of(action), lost);
    case 2: // Took effect, but the answer is lost.
      table_.serve(request);
      return handle_event(index_of(action), lost);
    case 3: // Delivered later.
      late_requests_.push_back(request);
      return handle_event(index_of(action), lost);
    default:
      return handle_event(index_of(action), table_.serve(request));
    }
  }

  void deliver_late_request(const model_action& action) {
    if (!late_requests_.empty()) {
      const auto place = late_requests_.begin() +
                         static_cast<std::ptrdiff_t>(action.choice % late_requests_.size());
      table_.serve(*place);
      late_requests_.erase(place);
    }
  }

  void advance_clock(const model_action& action) {
    now_ += milliseconds(action.amount % 50);
    for (unsigned index = 0; index < 2; ++index) {
      if (daemons_[index].timer <= now_) {
        handle_event(index, claim_timer_fired{});
      }
    }
  }

  void begin(const model_action& action) {
    auto& daemon = daemons_[index_of(action)];
    for (const auto number : std::exchange(daemon.granted, {})) {
      if (!begin_run(*daemon.state, number, now_)) {
        handle_event(index_of(action), run_ended{number, run_outcome::not_run});
        continue;
      }
      auto& call = calls_.at(number);
      require(!call.has_started);
      call.has_started = true;
      require(runs(call.key) <= 1);
    }
  }

  void end(const model_action& action) {
    for (auto& [number, call] : calls_) {
      const bool is_here =
          call.daemon == index_of(action) && call.incarnation == incarnations_[call.daemon];
      if (is_here && call.has_started && !call.has_ended) {
        call.has_ended = true;
        call.outcome = static_cast<run_outcome>(action.amount % 4);
        return handle_event(index_of(action), run_ended{number, call.outcome});
      }
    }
  }

  void crash(const model_action& action) {
    const auto index = index_of(action);
    for (const auto& request : daemons_[index].requests) {
      late_requests_.push_back(request);
    }
    ++incarnations_[index];
    daemons_[index] =
        claiming_daemon(std::to_string(index) + "-" + std::to_string(incarnations_[index]));
  }

  void abandon(const model_action& action) {
    for (const auto& [number, call] : calls_) {
      const bool is_here =
          call.daemon == index_of(action) && call.incarnation == incarnations_[call.daemon];
      if (is_here && !call.has_started && number % 4 == action.choice % 4) {
        daemons_[index_of(action)].granted.erase(number);
        handle_event(index_of(action), claim_abandoned{number});
      }
    }
  }

  void query_key(const model_action& action) {
    const std::uint64_t query = ++last_number_;
    queries_[query] = key_for(action.choice);
    handle_event(index_of(action), key_queried{query, "kwaeso", key_for(action.choice)});
  }

  fake_table table_;
  std::vector<platform_request> late_requests_;
  std::vector<claiming_daemon> daemons_ = make_daemons();
  unsigned incarnations_[2] = {0, 0};
  std::map<std::uint64_t, model_call> calls_;
  std::map<std::uint64_t, std::string> queries_;
  std::uint64_t last_number_ = 0;
  time_point now_{support::seconds(100)};
  bool invariants_hold_ = true;

  static std::vector<claiming_daemon> make_daemons() {
    std::vector<claiming_daemon> daemons;
    daemons.emplace_back("0-0");
    daemons.emplace_back("1-0");
    return daemons;
  }
};

// Generates actions, weighted towards progress of calls rather than crashes.
inline rc::Gen<std::vector<model_action>> generate_actions() {
  const auto kind = rc::gen::weightedElement<int>(
      {{6, 0}, {10, 1}, {2, 2}, {8, 3}, {6, 4}, {4, 5}, {1, 6}, {1, 7}, {1, 8}});
  const auto number = rc::gen::inRange<unsigned>(0, 400);
  const auto action = rc::gen::build<model_action>(
      rc::gen::set(&model_action::kind, kind), rc::gen::set(&model_action::daemon, number),
      rc::gen::set(&model_action::choice, number), rc::gen::set(&model_action::amount, number));
  return rc::gen::withSize([action](int size) {
    return rc::gen::resize(size * 4, rc::gen::container<std::vector<model_action>>(action));
  });
}

// Property that has to hold for the code and to fail with an injected fault.
inline void check_at_most_once(const std::vector<model_action>& actions) {
  claims_model model;
  for (const auto& action : actions) {
    model.apply(action);
    RC_ASSERT(model.invariants_hold());
  }
}

} // namespace acaciasill::control::tests

#endif

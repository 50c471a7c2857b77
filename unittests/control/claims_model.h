#ifndef ACACIASILL_UNITTESTS_CONTROL_CLAIMS_MODEL_H
#define ACACIASILL_UNITTESTS_CONTROL_CLAIMS_MODEL_H

#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "control/claims_fixture.h"

// Two daemons that claim keys over a table that loses answers, delays writes and goes away, while
// daemons crash and pause; an oracle that knows nothing of claims counts the runs of each key.
namespace acaciasill::control::tests {

// What happens next; the numbers choose among what is possible.
struct model_move {
  int kind = 0;
  unsigned daemon = 0;
  unsigned choice = 0;
  unsigned amount = 0;
};

inline std::ostream& operator<<(std::ostream& out, const model_move& move) {
  return out << '{' << move.kind << ',' << move.daemon << ',' << move.choice << ',' << move.amount
             << '}';
}

// What the oracle knows of one call.
struct model_call {
  unsigned daemon = 0;
  unsigned life = 0;
  std::string key;
  bool has_begun = false;
  bool is_ended = false;
  run_outcome outcome = run_outcome::unknown;
};

class claims_model {
public:
  static constexpr int kinds = 9;

  void apply(const model_move& move) {
    switch (move.kind) {
    case 0:
      return want(move);
    case 1:
      return serve(move);
    case 2:
      return land_late(move);
    case 3:
      return pass(move);
    case 4:
      return begin(move);
    case 5:
      return end(move);
    case 6:
      return crash(move);
    case 7:
      return abandon(move);
    default:
      return ask(move);
    }
  }

  // Whether all that must hold holds.
  bool holds() const { return holds_; }

private:
  void require(bool condition) { holds_ = holds_ && condition; }

  static std::string key_of(unsigned choice) {
    return std::string(1, static_cast<char>('a' + choice % 3));
  }
  unsigned index_of(const model_move& move) const { return move.daemon % 2; }

  // Runs of the key that happened or may have happened.
  int runs(const std::string& key) const {
    int count = 0;
    for (const auto& [number, call] : calls_) {
      const bool did_not_run = call.is_ended && call.outcome == run_outcome::not_run;
      count += call.key == key && call.has_begun && !did_not_run ? 1 : 0;
    }
    return count;
  }
  bool has_ended_with(const std::string& key, run_outcome outcome) const {
    for (const auto& [number, call] : calls_) {
      if (call.key == key && call.is_ended && call.outcome == outcome) {
        return true;
      }
    }
    return false;
  }

  // Gives an event and checks all that is said.
  void give(unsigned index, const claim_event& event) {
    auto& daemon = daemons_[index];
    daemon.give(event, now_);
    for (const auto& [number, refusal] : daemon.refused) {
      require(!calls_.at(number).has_begun);
      if (refusal.earlier && refusal.earlier != run_outcome::not_run) {
        require(has_ended_with(calls_.at(number).key, *refusal.earlier));
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
      require(has_ended_with(key, *answer.row->outcome));
    }
  }

  void want(const model_move& move) {
    const std::uint64_t number = ++last_number_;
    calls_[number] = {index_of(move), lives_[index_of(move)], key_of(move.choice)};
    const auto deadline = now_ + milliseconds(1 + move.amount % 400);
    give(index_of(move), claim_wanted{number, "kwaeso", key_of(move.choice), deadline});
  }

  void serve(const model_move& move) {
    auto& requests = daemons_[index_of(move)].requests;
    if (requests.empty()) {
      return;
    }
    const auto request = requests[move.choice % requests.size()];
    requests.erase(requests.begin() + static_cast<std::ptrdiff_t>(move.choice % requests.size()));
    platform_answer lost{request.ticket, platform_end::unknown, {}, {}};
    switch (move.amount % 8) {
    case 0: // Never arrived, and the asker knows.
      lost.end = platform_end::failed_before;
      return give(index_of(move), lost);
    case 1: // Never arrived, and the asker does not know.
      return give(index_of(move), lost);
    case 2: // Took effect, with its answer lost.
      table_.serve(request);
      return give(index_of(move), lost);
    case 3: // Arrives later.
      late_.push_back(request);
      return give(index_of(move), lost);
    default:
      return give(index_of(move), table_.serve(request));
    }
  }

  void land_late(const model_move& move) {
    if (!late_.empty()) {
      const auto place = late_.begin() + static_cast<std::ptrdiff_t>(move.choice % late_.size());
      table_.serve(*place);
      late_.erase(place);
    }
  }

  void pass(const model_move& move) {
    now_ += milliseconds(move.amount % 50);
    for (unsigned index = 0; index < 2; ++index) {
      if (daemons_[index].timer <= now_) {
        give(index, claim_timer_fired{});
      }
    }
  }

  void begin(const model_move& move) {
    auto& daemon = daemons_[index_of(move)];
    for (const auto number : std::exchange(daemon.granted, {})) {
      if (!begin_run(*daemon.state, number, now_)) {
        give(index_of(move), run_ended{number, run_outcome::not_run});
        continue;
      }
      auto& call = calls_.at(number);
      require(!call.has_begun);
      call.has_begun = true;
      require(runs(call.key) <= 1);
    }
  }

  void end(const model_move& move) {
    for (auto& [number, call] : calls_) {
      const bool is_here = call.daemon == index_of(move) && call.life == lives_[call.daemon];
      if (is_here && call.has_begun && !call.is_ended) {
        call.is_ended = true;
        call.outcome = static_cast<run_outcome>(move.amount % 4);
        return give(index_of(move), run_ended{number, call.outcome});
      }
    }
  }

  void crash(const model_move& move) {
    const auto index = index_of(move);
    for (const auto& request : daemons_[index].requests) {
      late_.push_back(request);
    }
    ++lives_[index];
    daemons_[index] = claiming_daemon(std::to_string(index) + "-" + std::to_string(lives_[index]));
  }

  void abandon(const model_move& move) {
    for (const auto& [number, call] : calls_) {
      const bool is_here = call.daemon == index_of(move) && call.life == lives_[call.daemon];
      if (is_here && !call.has_begun && number % 4 == move.choice % 4) {
        daemons_[index_of(move)].granted.erase(number);
        give(index_of(move), claim_abandoned{number});
      }
    }
  }

  void ask(const model_move& move) {
    const std::uint64_t query = ++last_number_;
    queries_[query] = key_of(move.choice);
    give(index_of(move), key_asked{query, "kwaeso", key_of(move.choice)});
  }

  fake_table table_;
  std::vector<platform_request> late_;
  std::vector<claiming_daemon> daemons_ = make_daemons();
  unsigned lives_[2] = {0, 0};
  std::map<std::uint64_t, model_call> calls_;
  std::map<std::uint64_t, std::string> queries_;
  std::uint64_t last_number_ = 0;
  time_point now_{support::seconds(100)};
  bool holds_ = true;

  static std::vector<claiming_daemon> make_daemons() {
    std::vector<claiming_daemon> daemons;
    daemons.emplace_back("0-0");
    daemons.emplace_back("1-0");
    return daemons;
  }
};

// Moves with more of what brings calls forward than of crashes.
inline rc::Gen<std::vector<model_move>> some_moves() {
  const auto kind = rc::gen::weightedElement<int>(
      {{6, 0}, {10, 1}, {2, 2}, {8, 3}, {6, 4}, {4, 5}, {1, 6}, {1, 7}, {1, 8}});
  const auto number = rc::gen::inRange<unsigned>(0, 400);
  const auto move = rc::gen::build<model_move>(
      rc::gen::set(&model_move::kind, kind), rc::gen::set(&model_move::daemon, number),
      rc::gen::set(&model_move::choice, number), rc::gen::set(&model_move::amount, number));
  return rc::gen::withSize([move](int size) {
    return rc::gen::resize(size * 4, rc::gen::container<std::vector<model_move>>(move));
  });
}

// The property that is checked of the code and must fail for a deliberate fault.
inline void check_claims(const std::vector<model_move>& moves) {
  claims_model model;
  for (const auto& move : moves) {
    model.apply(move);
    RC_ASSERT(model.holds());
  }
}

} // namespace acaciasill::control::tests

#endif

// Claims through the step machine over a table in memory that answers after a fixed time: rows of
// each write, writes for each claim, and the time that a claim takes in the daemon itself.

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "acaciasill/control/claims.h"

namespace {

using namespace acaciasill;
using namespace acaciasill::control;
using support::time_point;

// How long the table takes to answer, and how long a call runs.
constexpr support::milliseconds table_time{5};
constexpr support::milliseconds run_time{5};
constexpr support::milliseconds call_time{2000};

// Something that happens at a moment of virtual time.
struct due_event {
  time_point at;
  claim_event event;
};

// One daemon with a steady stream of claims, in virtual time.
class claim_stream {
public:
  explicit claim_stream(double rate) : interval_(static_cast<std::int64_t>(1e9 / rate)) {
    claim_settings settings;
    settings.holder = "benchmark-1";
    state_ = make_claims(settings);
  }

  // Claims a key, runs its call, and records the end, for each of so many calls.
  void run(std::uint64_t calls) {
    for (std::uint64_t call = 0; call < calls; ++call) {
      now_ += interval_;
      play_due();
      ++last_call_;
      give(claim_wanted{last_call_, "kwaeso", "reservation-" + std::to_string(last_call_),
                        now_ + call_time});
    }
  }
  claim_status status() const { return describe_claims(*state_); }
  std::uint64_t granted() const { return granted_; }

private:
  // Plays the timers, answers and ends of runs that are due, in their order.
  void play_due() {
    const time_point until = now_;
    while (true) {
      auto next = std::min_element(
          due_.begin(), due_.end(),
          [](const due_event& left, const due_event& right) { return left.at < right.at; });
      const bool has_event = next != due_.end() && next->at <= std::min(until, timer_);
      if (!has_event && timer_ > until) {
        break;
      }
      now_ = has_event ? next->at : timer_;
      claim_event event = claim_timer_fired{};
      if (has_event) {
        event = std::move(next->event);
        due_.erase(next);
      }
      give(event);
    }
    now_ = until;
  }

  void give(const claim_event& event) {
    std::vector<claim_action> actions;
    timer_ = time_point::max();
    step(*state_, event, now_, random_, actions);
    for (const auto& action : actions) {
      handle(action);
    }
  }
  void handle(const claim_action& action) {
    if (const auto* request = std::get_if<platform_request>(&action)) {
      due_.push_back(
          {now_ + table_time, platform_answer{request->ticket, platform_end::done, {}, {}}});
    }
    if (const auto* granted = std::get_if<claim_granted>(&action)) {
      granted_ += begin_run(*state_, granted->call, now_) ? 1 : 0;
      due_.push_back({now_ + run_time, run_ended{granted->call, run_outcome::completed}});
    }
    if (const auto* timer = std::get_if<set_claim_timer>(&action)) {
      timer_ = timer->at;
    }
  }

  support::duration interval_;
  claims_state_ptr state_;
  support::random_source random_{17};
  std::deque<due_event> due_;
  time_point now_{support::seconds(1)};
  time_point timer_ = time_point::max();
  std::uint64_t last_call_ = 0;
  std::uint64_t granted_ = 0;
};

// Calls of one iteration.
constexpr std::uint64_t calls_per_iteration = 1000;

void claims_for_each_write(benchmark::State& state) {
  claim_stream stream(static_cast<double>(state.range(0)));
  for ([[maybe_unused]] const auto turn : state) {
    stream.run(calls_per_iteration);
  }
  const auto status = stream.status();
  state.SetItemsProcessed(static_cast<std::int64_t>(stream.granted()));
  state.counters["claims_per_write"] =
      static_cast<double>(stream.granted()) / static_cast<double>(status.writes);
  state.counters["rows_per_write"] =
      static_cast<double>(status.written_rows) / static_cast<double>(status.writes);
}

} // namespace

BENCHMARK(claims_for_each_write)->Arg(10)->Arg(100)->Arg(1000)->Arg(5000)->Iterations(20);

BENCHMARK_MAIN();

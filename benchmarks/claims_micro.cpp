// Drives the claim state machine against an in-memory store with fixed latency. Reports rows per
// write, claims per write, and the processor time per claim in the daemon.

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

// Latency of the store, execution time of a call, and deadline of a call.
constexpr support::milliseconds store_latency{5};
constexpr support::milliseconds execution_time{5};
constexpr support::milliseconds call_timeout{2000};

// Event that is scheduled at a point of virtual time.
struct scheduled_event {
  time_point at;
  claim_event event;
};

// Simulates one daemon with a constant rate of claims in virtual time.
class claim_simulation {
public:
  explicit claim_simulation(double rate) : interval_(static_cast<std::int64_t>(1e9 / rate)) {
    claim_settings settings;
    settings.holder = "benchmark-1";
    state_ = make_claims(settings);
  }

  // Claims a key, runs the call and records its end, for the given number of calls.
  void run(std::uint64_t calls) {
    for (std::uint64_t call = 0; call < calls; ++call) {
      now_ += interval_;
      deliver_due_events();
      ++last_call_;
      deliver(claim_requested{last_call_, "kwaeso", "reservation-" + std::to_string(last_call_),
                              now_ + call_timeout});
    }
  }
  claim_status status() const { return get_claim_status(*state_); }
  std::uint64_t granted() const { return granted_; }

private:
  // Delivers the timers, answers and ends of runs that are due, in time order.
  void deliver_due_events() {
    const time_point until = now_;
    while (true) {
      auto next = std::min_element(scheduled_.begin(), scheduled_.end(),
                                   [](const scheduled_event& left, const scheduled_event& right) {
                                     return left.at < right.at;
                                   });
      const bool has_event = next != scheduled_.end() && next->at <= std::min(until, timer_);
      if (!has_event && timer_ > until) {
        break;
      }
      now_ = has_event ? next->at : timer_;
      claim_event event = claim_timer_fired{};
      if (has_event) {
        event = std::move(next->event);
        scheduled_.erase(next);
      }
      deliver(event);
    }
    now_ = until;
  }

  void deliver(const claim_event& event) {
    std::vector<claim_action> actions;
    timer_ = time_point::max();
    step(*state_, event, now_, random_, actions);
    for (const auto& action : actions) {
      handle(action);
    }
  }
  void handle(const claim_action& action) {
    if (const auto* request = std::get_if<platform_request>(&action)) {
      scheduled_.push_back(
          {now_ + store_latency, platform_answer{request->ticket, platform_end::done, {}, {}}});
    }
    if (const auto* granted = std::get_if<claim_granted>(&action)) {
      granted_ += begin_run(*state_, granted->call, now_) ? 1 : 0;
      scheduled_.push_back(
          {now_ + execution_time, run_ended{granted->call, run_outcome::completed}});
    }
    if (const auto* timer = std::get_if<set_claim_timer>(&action)) {
      timer_ = timer->at;
    }
  }

  support::duration interval_;
  claims_state_ptr state_;
  support::random_source random_{17};
  std::deque<scheduled_event> scheduled_;
  time_point now_{support::seconds(1)};
  time_point timer_ = time_point::max();
  std::uint64_t last_call_ = 0;
  std::uint64_t granted_ = 0;
};

// Calls per benchmark iteration.
constexpr std::uint64_t calls_per_iteration = 1000;

void claims_for_each_write(benchmark::State& state) {
  claim_simulation simulation(static_cast<double>(state.range(0)));
  for ([[maybe_unused]] const auto iteration : state) {
    simulation.run(calls_per_iteration);
  }
  const auto status = simulation.status();
  state.SetItemsProcessed(static_cast<std::int64_t>(simulation.granted()));
  state.counters["claims_per_write"] =
      static_cast<double>(simulation.granted()) / static_cast<double>(status.writes);
  state.counters["rows_per_write"] =
      static_cast<double>(status.written_rows) / static_cast<double>(status.writes);
}

} // namespace

BENCHMARK(claims_for_each_write)->Arg(10)->Arg(100)->Arg(1000)->Arg(5000)->Iterations(20);

BENCHMARK_MAIN();

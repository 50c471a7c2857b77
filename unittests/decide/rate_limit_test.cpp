#include "acaciasill/decide/rate_limit.h"

#include <deque>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "acaciasill/decide/request_path.h"
#include "fault_injection.h"
#include "overload_simulation.h"

using namespace acaciasill;
using namespace acaciasill::decide;
using acaciasill::decide::testing::cases_until_failure;
using support::microseconds;
using support::milliseconds;
using support::seconds;
using support::time_point;

namespace {

// The platform's bound on calls to a server in any window.
constexpr seconds bound_window{4};
constexpr double max_rate_excess = 1.5;
constexpr double max_extra_calls = 5.0;

double max_calls_in_window(double rate) {
  return max_rate_excess * rate * static_cast<double>(bound_window.count()) + max_extra_calls;
}

enum class fault { none, limit_of_each_sender, forgets_on_restart };

// Property: whatever calls arrive, from however many senders, with pauses of the process and a
// restart, no window has more starts than the stated rate allows.
bool window_bound_holds(fault injected) {
  support::random_source random(*rc::gen::arbitrary<std::uint64_t>());
  const double rate = static_cast<double>(*rc::gen::inRange(0, 2000)) / 10.0;
  const std::size_t senders = injected == fault::limit_of_each_sender ? 12 : 1;
  std::vector<rate_limiter> limiters(senders);
  for (auto& limiter : limiters) {
    record_stated_rate(limiter, rate, {});
  }
  std::deque<time_point> starts;
  time_point now{};
  const int restart_at = *rc::gen::inRange(0, 4000);
  for (int arrival = 0; arrival < 4000; ++arrival) {
    now += microseconds(random() % 5000);
    now += random() % 1000 == 0 ? seconds(2) : seconds(0);
    auto& limiter = limiters[random() % senders];
    if (arrival == restart_at) {
      reset_rate(limiter);
      limiter.next_start_ns = 0;
      if (injected != fault::forgets_on_restart) {
        record_relayed_rate(limiter, rate, now);
      }
    }
    if (!take_permit(limiter, now)) {
      continue;
    }
    starts.push_back(now);
    while (starts.front() <= now - bound_window) {
      starts.pop_front();
    }
    if (static_cast<double>(starts.size()) > max_calls_in_window(rate)) {
      return false;
    }
  }
  return true;
}

} // namespace

TEST_CASE("no window has more calls than the stated rate allows") {
  CHECK(rc::check([] { RC_ASSERT(window_bound_holds(fault::none)); }));
  CHECK(cases_until_failure("each sender takes the limit for its own",
                            [] { return window_bound_holds(fault::limit_of_each_sender); }) > 0);
  CHECK(cases_until_failure("a restarted daemon does not know the limit",
                            [] { return window_bound_holds(fault::forgets_on_restart); }) > 0);
}

TEST_CASE("a stated rate is used in full") {
  rate_limiter limiter;
  record_stated_rate(limiter, 50.0, {});
  int started = 0;
  for (time_point now{}; now < time_point(seconds(10)); now += milliseconds(1)) {
    started += take_permit(limiter, now) ? 1 : 0;
  }
  CHECK(started >= 500);
  CHECK(started <= 510);
}

TEST_CASE("a limit ends only after several answers without one") {
  rate_limiter limiter;
  CHECK(record_stated_rate(limiter, 20.0, {}));
  CHECK_FALSE(record_stated_rate(limiter, unlimited_rate, {}));
  // An answer that was processed late does not end the limit.
  CHECK_FALSE(record_stated_rate(limiter, 20.0, {}));
  for (std::uint32_t answer = 1; answer < answers_until_unlimited; ++answer) {
    CHECK_FALSE(record_stated_rate(limiter, unlimited_rate, {}));
    CHECK(rate_in_force(limiter) == Approx(20.0));
  }
  CHECK(record_stated_rate(limiter, unlimited_rate, {}));
  CHECK(rate_in_force(limiter) == unlimited_rate);
}

TEST_CASE("a relayed limit holds until the server itself has answered") {
  rate_limiter limiter;
  CHECK(record_relayed_rate(limiter, 20.0, {}));
  CHECK_FALSE(record_stated_rate(limiter, unlimited_rate, {}));
  CHECK_FALSE(record_relayed_rate(limiter, 10.0, {}));
  CHECK(rate_in_force(limiter) == Approx(20.0));
  reset_rate(limiter);
  CHECK(rate_in_force(limiter) == unlimited_rate);
  CHECK(record_relayed_rate(limiter, 10.0, {}));
}

TEST_CASE("a server that states 0 still gets the calls that show the end of the limit") {
  rate_limiter limiter;
  record_stated_rate(limiter, 0.0, {});
  int started = 0;
  for (time_point now{}; now < time_point(seconds(20)); now += milliseconds(10)) {
    started += take_permit(limiter, now) ? 1 : 0;
  }
  CHECK(started >= 9);
  CHECK(started <= 11);
}

TEST_CASE("a rise of the rate does not leave the next call waiting at the old one") {
  rate_limiter limiter;
  record_stated_rate(limiter, 0.5, {});
  REQUIRE(take_permit(limiter, {}));
  record_stated_rate(limiter, 100.0, {});
  CHECK(take_permit(limiter, time_point(milliseconds(10))));
}

TEST_CASE("calls beyond the stated rate wait although slots are free") {
  gate counters(1, 100);
  const gate_view view{.organisations = {{0.5, 1.0}}, .queue_bound = seconds(2)};
  support::random_source random(1);
  wait_queue queue(1, 64);
  std::vector<dropped_call> dropped;
  record_stated_rate(counters.rate, 20.0, {});
  time_point now{};
  int started = 0;
  for (std::uint64_t call = 0; call < 30; ++call) {
    const request_id id{random(), call};
    const request_facts request{id, make_level(3, false, id), 0, now + seconds(3)};
    const auto decision = admit(counters, view, request, now, random);
    started += decision.action == admission::run ? 1 : 0;
    if (decision.action == admission::wait) {
      enqueue(queue, counters, view, request, call, now, dropped);
    }
  }
  CHECK(started <= 3);
  // The time at which the next call may start is known, so that a driver need not poll.
  while (size(queue) > 0) {
    const auto next = next_permit_time(counters.rate, now);
    REQUIRE(next);
    now = *next;
    started += next_from_queue(queue, counters, view, now, dropped) ? 1 : 0;
  }
  CHECK(started == 30);
  CHECK(dropped.empty());
  CHECK(now >= time_point(milliseconds(1300)));
  CHECK(counters.in_flight == 30);
}

TEST_CASE("a limited upstream reports the slots that its rate amounts to") {
  gate counters(1, 100);
  counters.service_time_us = 60000;
  CHECK(usable_slots(counters) == 100);
  record_stated_rate(counters.rate, 64.0, {});
  CHECK(usable_slots(counters) == 4);
  record_stated_rate(counters.rate, 1.0, {});
  CHECK(usable_slots(counters) == 1);
}

// One of three upstreams states a tenth of what it can do, while the other two have room for the
// rest.
TEST_CASE("callers are served by the other upstreams while one states a rate limit") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    decide::testing::simulation_settings settings;
    settings.demand = 0.6;
    settings.baseline_load = 0.6;
    settings.stated_rate = 300.0;
    settings.seed = seed;
    decide::testing::loop sim(settings);
    decide::testing::run(sim);
    const auto sum = decide::testing::summarise(sim);
    CAPTURE(seed, sum.under, sum.important, sum.max_starts_in_4s, sum.recovery_s);
    CHECK(sum.max_starts_in_4s <= max_calls_in_window(settings.stated_rate));
    CHECK(sum.under >= 0.95 * sum.before);
    CHECK(sum.important >= 0.999);
    CHECK(sum.recovery_s <= 2.0);
  }
}

// All demand beyond what the two other upstreams can do is refused, the least important first.
TEST_CASE("important calls are served under overload while one upstream states a rate limit") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    decide::testing::simulation_settings settings;
    settings.demand = 2.0;
    settings.stated_rate = 300.0;
    settings.seed = seed;
    decide::testing::loop sim(settings);
    decide::testing::run(sim);
    const auto sum = decide::testing::summarise(sim);
    CAPTURE(seed, sum.under, sum.important, sum.max_starts_in_4s, sum.recovery_s);
    CHECK(sum.max_starts_in_4s <= max_calls_in_window(settings.stated_rate));
    const double usable = (2.0 + settings.stated_rate / 3000.0) / 3.0;
    CHECK(sum.under >= 0.9 * usable);
    CHECK(sum.important >= 0.95);
  }
}

#include "acaciasill/control/stopping.h"

#include <catch2/catch.hpp>

using namespace acaciasill::control;
using acaciasill::support::milliseconds;
using acaciasill::support::seconds;

namespace {

const stop_limits limits{seconds(6), milliseconds(2500)};

shutdown_phase step_at(milliseconds elapsed, milliseconds since_request, std::uint64_t calls) {
  return next_shutdown_phase(limits, elapsed, since_request, calls);
}

} // namespace

// Guards against a request that is accepted too late to finish: one that arrived 3.02 s after the
// signal, which was handled 60 ms late, was accepted and then cut off when the process ended.
TEST_CASE("no request is accepted later than three seconds after the platform sent the signal") {
  constexpr milliseconds handled_late{400};
  CHECK(step_at(seconds(3) - handled_late, milliseconds(10), 5) ==
        shutdown_phase::refuses_requests);
  CHECK(step_at(milliseconds(2000), milliseconds(10), 5) == shutdown_phase::accepts_requests);
}

TEST_CASE("a shutdown waits for calls in flight and the notice period, within its time limit") {
  CHECK(step_at(milliseconds(1000), milliseconds(900), 0) == shutdown_phase::accepts_requests);
  CHECK(step_at(milliseconds(2600), milliseconds(100), 0) == shutdown_phase::refuses_requests);
  CHECK(step_at(milliseconds(2600), milliseconds(400), 0) == shutdown_phase::finished);
  CHECK(step_at(milliseconds(4000), milliseconds(3000), 1) == shutdown_phase::refuses_requests);
  CHECK(step_at(milliseconds(5700), milliseconds(3000), 1) == shutdown_phase::finished);
}

TEST_CASE("a short shutdown accepts requests only in its first half") {
  const stop_limits brief{seconds(2), milliseconds(500)};
  CHECK(next_shutdown_phase(brief, milliseconds(900), milliseconds(1), 1) ==
        shutdown_phase::accepts_requests);
  CHECK(next_shutdown_phase(brief, milliseconds(1100), milliseconds(1), 1) ==
        shutdown_phase::refuses_requests);
}

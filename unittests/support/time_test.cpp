#include "acaciasill/support/time.h"

#include <catch2/catch.hpp>

using namespace acaciasill::support;

namespace {

time_point time_since_boot() {
  timespec now{};
  REQUIRE(::clock_gettime(CLOCK_BOOTTIME, &now) == 0);
  return time_point(seconds(now.tv_sec) + nanoseconds(now.tv_nsec));
}

} // namespace

// Guards against reading the steady clock, which stops while the machine is suspended: deadlines
// would not expire, and calls whose callers have given up would still be started.
TEST_CASE("the monotonic clock includes time in suspension") {
  const auto before = time_since_boot();
  const auto now = monotonic_now();
  CHECK(before <= now);
  CHECK(now <= time_since_boot());
}

TEST_CASE("time_until is 0 for a time in the past") {
  CHECK(time_until(monotonic_now() - seconds(5)) == duration::zero());
  CHECK(time_until(monotonic_now() + seconds(500)) > seconds(400));
}

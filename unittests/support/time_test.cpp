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

// The steady clock stands still while a machine is suspended, and every deadline with it: work
// whose caller has long gone would be started as if it were in time.
TEST_CASE("the clock of deadlines counts the time for which the machine was suspended") {
  const auto before = time_since_boot();
  const auto now = monotonic_now();
  CHECK(before <= now);
  CHECK(now <= time_since_boot());
}

TEST_CASE("a moment that has passed needs no waiting") {
  CHECK(time_until(monotonic_now() - seconds(5)) == duration::zero());
  CHECK(time_until(monotonic_now() + seconds(500)) > seconds(400));
}

#ifndef ACACIASILL_SUPPORT_TIME_H
#define ACACIASILL_SUPPORT_TIME_H

#include <algorithm>
#include <chrono>
#include <ctime>

namespace acaciasill::support {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

// A span of monotonic time.
using duration = nanoseconds;

// A moment of monotonic time. Decisions receive it as an argument, so that a driver with virtual
// time can make its own values; only the daemon reads monotonic_now(). The clock's type is that of
// the standard library's steady clock; the values are of the clock below.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

// The machine's monotonic clock, which unlike the steady clock also counts the time for which the
// machine was suspended: deadlines and ages do not stand still meanwhile.
inline time_point monotonic_now() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(seconds(now.tv_sec) + nanoseconds(now.tv_nsec));
}

// The time until a moment, for timers, which run by the steady clock; 0 where it has passed.
inline duration time_until(time_point moment) {
  return std::max(duration::zero(), moment - monotonic_now());
}

// Whole milliseconds of a span, rounded towards zero.
inline long long whole_milliseconds(duration span) {
  return std::chrono::duration_cast<milliseconds>(span).count();
}

} // namespace acaciasill::support

#endif

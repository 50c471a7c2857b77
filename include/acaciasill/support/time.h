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

// A duration of monotonic time.
using duration = nanoseconds;

// A point in monotonic time. Decision functions receive it as an argument, so that tests and
// replays can supply virtual time. The type is that of std::chrono::steady_clock, but the values
// come from monotonic_now(), which only the daemon reads.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

// Reads the machine's monotonic clock. Unlike std::chrono::steady_clock, it also advances while the
// machine is suspended, so that deadlines expire and ages grow during a suspension.
inline time_point monotonic_now() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(seconds(now.tv_sec) + nanoseconds(now.tv_nsec));
}

// Returns the time until a point in time, or 0 if it has passed. Timers need it because they run on
// the steady clock.
inline duration time_until(time_point moment) {
  return std::max(duration::zero(), moment - monotonic_now());
}

// Converts a duration to milliseconds, rounding towards zero.
inline long long whole_milliseconds(duration span) {
  return std::chrono::duration_cast<milliseconds>(span).count();
}

} // namespace acaciasill::support

#endif

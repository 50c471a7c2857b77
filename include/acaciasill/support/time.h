#ifndef ACACIASILL_SUPPORT_TIME_H
#define ACACIASILL_SUPPORT_TIME_H

#include <chrono>

namespace acaciasill::support {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

// A span of monotonic time.
using duration = nanoseconds;

// A moment of monotonic time. Decisions receive it as an argument, so that a driver with virtual
// time can make its own values; only the daemon reads monotonic_now().
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

// The machine's monotonic clock.
inline time_point monotonic_now() {
  return std::chrono::steady_clock::now();
}

// Whole milliseconds of a span, rounded towards zero.
inline long long whole_milliseconds(duration span) {
  return std::chrono::duration_cast<milliseconds>(span).count();
}

} // namespace acaciasill::support

#endif

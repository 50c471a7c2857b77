#ifndef ACACIASILL_DECIDE_RETURNING_H
#define ACACIASILL_DECIDE_RETURNING_H

#include <atomic>
#include <cstdint>

#include "acaciasill/support/time.h"

// Distinguishes a request that was refused and is retried after the advised delay from a first
// attempt. In lasting overload, a caller that waited and is refused again loses the most, so that
// returning requests take precedence over first attempts of the same class. A caller that retries
// immediately gains no precedence.
namespace acaciasill::decide {

// Longest time left, in milliseconds, with which requests of one route arrive; first attempts
// arrive with this time. If callers reduce their timeouts, the value follows within a few seconds.
struct first_attempt_time {
  std::atomic<std::uint32_t> longest_ms{0};
  // Time at which the value was last seen or lowered, in milliseconds.
  std::atomic<std::uint32_t> seen_ms{0};
};

// Minimum delay of a returning caller; shorter than any advised delay.
inline constexpr support::milliseconds min_retry_pause{40};

// Records the time left of a request and returns true if its caller has waited before retrying.
bool is_returning(first_attempt_time& first, support::milliseconds time_left,
                  support::time_point now);

} // namespace acaciasill::decide

#endif

#ifndef ACACIASILL_DECIDE_RETURNING_H
#define ACACIASILL_DECIDE_RETURNING_H

#include <atomic>
#include <cstdint>

#include "acaciasill/support/time.h"

// Tells a request that was refused and came back, as it was told to, from a first attempt. It
// answers overload that lasts: a caller who waited and is refused again has lost the most, so that
// returning requests go before first ones of the same class. A caller that comes back at once gains
// nothing.
namespace acaciasill::decide {

// The longest time that callers of one route brought with a request, in milliseconds, which is what
// a first attempt brings. Callers that all bring less are followed within some seconds.
struct first_attempt_time {
  std::atomic<std::uint32_t> longest_ms{0};
  // When it was last seen or lowered, in milliseconds.
  std::atomic<std::uint32_t> seen_ms{0};
};

// The time that a returning caller has waited at least; shorter than any advice when to come back.
inline constexpr support::milliseconds least_pause{40};

// Takes in the time that a request brings, and returns whether it comes from a caller that waited.
bool is_returning(first_attempt_time& first, support::milliseconds time_left,
                  support::time_point now);

} // namespace acaciasill::decide

#endif

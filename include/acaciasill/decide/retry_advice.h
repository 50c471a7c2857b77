#ifndef ACACIASILL_DECIDE_RETRY_ADVICE_H
#define ACACIASILL_DECIDE_RETRY_ADVICE_H

#include <atomic>
#include <cstdint>

#include "acaciasill/support/random.h"

// Retry-after advice for refused callers. The advised delay grows with the caller's excess (its
// ratio of refused to admitted calls), which decays periodically; the answer itself is never
// delayed. After Hunter, Terry and Judge, "Distributed Tarpitting: Impeding Spam Across Multiple
// Servers", LISA 2003.
namespace acaciasill::decide {

// Recent admitted and refused calls of one caller (an organisation).
struct caller_excess {
  std::atomic<std::uint32_t> admitted{0};
  std::atomic<std::uint32_t> refused{0};
  // Refused calls per admitted call in percent: the latest peak, decayed since.
  std::atomic<std::uint32_t> ratio_percent{0};
};

// Count an admitted or a refused call.
void record_admitted(caller_excess& excess);
void record_refused(caller_excess& excess);

// Updates the ratio from the counts since the previous call, and decays it. To be called every
// control_period; adjust does so for the organisations of a gate.
void update_excess(caller_excess& excess);

// Returns the delay in milliseconds after which a refused caller should retry: 100 without excess
// and growing with it up to 2000, with jitter of 50% in either direction. The growth is
// proportional to the rank of the call's priority class, so that the most important calls retry
// soon whatever the rest of the traffic does.
std::uint32_t retry_after_ms(const caller_excess& excess, std::uint8_t rank,
                             support::random_source& random);

} // namespace acaciasill::decide

#endif

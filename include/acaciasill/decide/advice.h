#ifndef ACACIASILL_DECIDE_ADVICE_H
#define ACACIASILL_DECIDE_ADVICE_H

#include <atomic>
#include <cstdint>

#include "acaciasill/support/random.h"

// When a refused caller is told to come back. The advice grows with the caller's excess, which
// falls by periodic reduction; the answer itself is never held back. After Hunter, Terry and Judge,
// "Distributed Tarpitting: Impeding Spam Across Multiple Servers", LISA 2003.
namespace acaciasill::decide {

// What one caller (an organisation) was admitted and refused lately.
struct caller_excess {
  std::atomic<std::uint32_t> admitted{0};
  std::atomic<std::uint32_t> refused{0};
  // Refused calls for each admitted one, in hundredths, at its highest and reduced since.
  std::atomic<std::uint32_t> hundredths{0};
};

// Counts a call.
void note_admitted(caller_excess& excess);
void note_refused(caller_excess& excess);

// Takes in the counts since the last time and reduces the excess. Call it every control_period;
// adjust does so for the organisations of a gate.
void reduce_excess(caller_excess& excess);

// Milliseconds after which a refused caller should come back: 100 at no excess, growing with it up
// to 2000, with jitter of half either way. The growth is in proportion to the rank of the call's
// priority class, so that the most important calls come back soon whatever the rest does.
std::uint32_t retry_after_ms(const caller_excess& excess, std::uint8_t rank,
                             support::random_source& random);

} // namespace acaciasill::decide

#endif

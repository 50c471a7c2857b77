#ifndef ACACIASILL_CONTROL_STOPPING_H
#define ACACIASILL_CONTROL_STOPPING_H

#include <cstdint>

#include "acaciasill/support/time.h"

// The steps of a graceful stop that has to be over in a given time.
namespace acaciasill::control {

struct stop_limits {
  // The platform kills the process this long after the signal.
  support::duration total{};
  // The time after which callers have noticed that the daemon stops.
  support::duration notice{};

  bool operator==(const stop_limits&) const = default;
};

// Work that is taken later than this after the signal may not end in time and would be cut off. The
// platform counts from its own sending of the signal, which a busy machine handles late.
inline constexpr support::milliseconds last_work_time{2500};

// A stop ends this long before the process would be killed.
inline constexpr support::milliseconds stop_margin{350};

// The time without any request after which a stop is over, once callers have noticed.
inline constexpr support::milliseconds quiet_time{300};

enum class stop_step : std::uint8_t {
  takes_callers,   // Callers that have not noticed yet are still served.
  refuses_callers, // New requests are refused, and what runs goes on.
  ends,
};

// What a daemon that stops does now: the time since the signal, the time since the last request,
// and the calls without an answer.
stop_step next_stop_step(const stop_limits& limits, support::duration elapsed,
                         support::duration since_request, std::uint64_t calls_in_flight);

} // namespace acaciasill::control

#endif

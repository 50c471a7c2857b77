#ifndef ACACIASILL_CONTROL_STOPPING_H
#define ACACIASILL_CONTROL_STOPPING_H

#include <cstdint>

#include "acaciasill/support/time.h"

// Phases of a graceful shutdown with a time limit.
namespace acaciasill::control {

// Time limits of a shutdown, counted from the signal.
struct stop_limits {
  // Time until the platform kills the process.
  support::duration total{};
  // Time until callers have learned that the daemon stops.
  support::duration notice{};

  bool operator==(const stop_limits&) const = default;
};

// Time after the signal until which new requests are accepted. Later ones might not finish before
// the process is killed. The platform counts from when it sent the signal, which a busy machine
// handles late.
inline constexpr support::milliseconds accept_period{2500};

// Time before the kill at which the shutdown ends in any case.
inline constexpr support::milliseconds kill_margin{350};

// Time without any request after which the shutdown ends, once callers have learned of it and no
// call is in flight.
inline constexpr support::milliseconds idle_period{300};

// Phase of a shutdown.
enum class shutdown_phase : std::uint8_t {
  accepts_requests, // Requests of callers that have not learned of it yet are still accepted.
  refuses_requests, // New requests are refused; calls in flight continue.
  finished,
};

// Returns the phase of a shutdown from the time since the signal, the time since the last request
// and the number of unanswered calls.
shutdown_phase next_shutdown_phase(const stop_limits& limits, support::duration elapsed,
                                   support::duration since_request, std::uint64_t calls_in_flight);

} // namespace acaciasill::control

#endif

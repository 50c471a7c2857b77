#ifndef ACACIASILL_NET_CIRCUIT_BREAKER_H
#define ACACIASILL_NET_CIRCUIT_BREAKER_H

#include <cstdint>

#include "acaciasill/support/random.h"
#include "acaciasill/support/time.h"

// Circuit breaker and retry back-off for clients of the platform, as pure functions of their state.
namespace acaciasill::net {

// Thresholds and open times of a circuit breaker.
struct breaker_settings {
  // Consecutive failures that open the breaker.
  std::uint32_t failure_threshold = 5;
  // Initial open time; doubled, up to max_open, each time a trial request fails.
  support::milliseconds min_open{500};
  support::milliseconds max_open{8000};

  bool operator==(const breaker_settings&) const = default;
};

// State of a circuit breaker. Consecutive failures open a closed breaker; once the open time has
// elapsed, it admits one trial request.
struct breaker_state {
  std::uint32_t consecutive_failures = 0;
  bool open = false;
  bool trial_in_flight = false;
  support::time_point open_until;
  support::milliseconds open_duration{0};

  bool operator==(const breaker_state&) const = default;
};

// Returns whether a request may start now. If the breaker is open, a true result starts the trial
// request, whose end has to be reported by on_success or on_failure.
bool allow_request(breaker_state& state, support::time_point now);

// Records that the platform answered; closes the breaker.
void on_success(breaker_state& state);

// Records that the platform failed or could not be reached.
void on_failure(breaker_state& state, const breaker_settings& settings, support::time_point now,
                support::random_source& random);

// Returns a retry delay with full jitter: uniform between 0 and min(cap, base * 2^attempt), where
// attempt 0 is the first.
support::duration full_jitter(support::milliseconds base, support::milliseconds cap,
                              std::uint32_t attempt, support::random_source& random);

} // namespace acaciasill::net

#endif

#ifndef ACACIASILL_NET_CIRCUIT_BREAKER_H
#define ACACIASILL_NET_CIRCUIT_BREAKER_H

#include <cstdint>

#include "acaciasill/support/random.h"
#include "acaciasill/support/time.h"

// When a client may turn to the platform, as pure functions.
namespace acaciasill::net {

// How a circuit breaker reacts.
struct breaker_settings {
  // Failures in a row that open it.
  std::uint32_t failures = 5;
  // How long it stays open at first; doubled each time that its trial fails.
  support::milliseconds min_open{500};
  support::milliseconds max_open{8000};

  bool operator==(const breaker_settings&) const = default;
};

// The state of a circuit breaker. It is closed until failures in a row open it; once its time is
// over it lets one request through as a trial.
struct breaker_state {
  std::uint32_t failures_in_row = 0;
  bool open = false;
  bool trial_in_flight = false;
  support::time_point open_until;
  support::milliseconds open_for{0};

  bool operator==(const breaker_state&) const = default;
};

// Whether a request may start now. A true answer of an open breaker starts its trial, which has to
// end by one of the functions below.
bool may_start(breaker_state& state, support::time_point now);

// The platform answered.
void on_success(breaker_state& state);

// The platform failed or could not be reached.
void on_failure(breaker_state& state, const breaker_settings& settings, support::time_point now,
                support::random_source& random);

// A random pause below the doubled base for each attempt before, and below the cap; attempt 0 is
// the first.
support::duration full_jitter(support::milliseconds base, support::milliseconds cap,
                              std::uint32_t attempt, support::random_source& random);

} // namespace acaciasill::net

#endif

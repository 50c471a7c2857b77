#ifndef ACACIASILL_DECIDE_CONCURRENCY_LIMIT_H
#define ACACIASILL_DECIDE_CONCURRENCY_LIMIT_H

#include <cstdint>

#include "acaciasill/decide/gate.h"

// Effective concurrency limit of one upstream: the slots that it reports, bounded by what the
// daemon observes itself.
namespace acaciasill::decide {

// Settings of the concurrency limit.
struct limit_settings {
  // Slots of the service, used if the upstream reports none.
  std::uint32_t slots = 100;
  // Time over which the limit of a cold upstream is raised to its full value.
  support::duration slow_start = support::milliseconds(2000);
  // Fraction of the slots that is used.
  double slot_use = 1.0;
  // True if the limit adapts to observed service times; otherwise it is the reported slots.
  bool adaptive = true;

  bool operator==(const limit_settings&) const = default;
};

// Measurements over one window.
struct limit_sample {
  // Slots that the backend server reports; 0 if it reports none. The value may lag or be wrong.
  std::uint32_t reported_slots = 0;
  // Peak number of calls in flight.
  std::uint32_t peak_in_flight = 0;
  std::uint32_t finished = 0;
  std::uint64_t service_sum_us = 0;
  // Calls that the backend server itself refused for load.
  std::uint32_t backend_sheds = 0;
  // True if calls wait for a slot.
  bool waiting = false;
  support::duration window{};

  bool operator==(const limit_sample&) const = default;
};

// State of the limit controller.
struct limit_state {
  // Time at which the backend server announced itself; slow start begins here.
  support::time_point ready_since{};
  // Concurrency limit learned from observation.
  double learned_limit = 0.0;
  // Decaying peak of calls in flight that the server has recently sustained without slowing down.
  double sustained_in_flight = 0.0;
  // Mean service time in microseconds while the server was not saturated.
  double unsaturated_service_us = 0.0;
  // Completion rate and limit before the current probe with a lowered limit, and true if such a
  // probe is in progress.
  double rate_before_probe = 0.0;
  double limit_before_probe = 0.0;
  bool probing = false;
  // Windows until the next probe.
  std::uint32_t windows_until_probe = 0;

  bool operator==(const limit_state&) const = default;
};

// Length of the window over which a sample is taken.
inline constexpr support::milliseconds limit_window{200};

// Processes the sample of one window and returns the limit for the next, at least 1. If the server
// is saturated and its service time has grown, a lower limit is probed. The lower limit is kept if
// the completion rate holds; it is reverted if the rate falls, since then the calls themselves have
// become slower.
std::uint32_t update_limit(limit_state& state, const limit_settings& settings,
                           const limit_sample& sample, support::time_point now);

// Reads and resets the gate's window counters.
limit_sample take_limit_sample(gate& state, std::uint32_t reported_slots,
                               std::uint32_t backend_sheds, support::duration window);

// Returns the fraction of the full limit, from 0.1 to 1, that applies this long after the server
// became ready.
double slow_start_fraction(support::duration since_ready, support::duration slow_start);

} // namespace acaciasill::decide

#endif

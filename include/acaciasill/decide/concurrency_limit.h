#ifndef ACACIASILL_DECIDE_CONCURRENCY_LIMIT_H
#define ACACIASILL_DECIDE_CONCURRENCY_LIMIT_H

#include <cstdint>

#include "acaciasill/decide/gate.h"

// The effective limit of calls in flight at one upstream: the reported slots, bounded by what the
// daemon sees itself.
namespace acaciasill::decide {

// Tuning of the limit.
struct limit_settings {
  // Slots of the service where the upstream reports none.
  std::uint32_t slots = 100;
  // The time over which a cold upstream is brought to its full limit.
  support::duration slow_start = support::milliseconds(2000);
  // The part of the slots that is used.
  double slot_use = 1.0;
  // Whether the limit follows what calls show; else it is the reported slots.
  bool learns = true;

  bool operator==(const limit_settings&) const = default;
};

// What was seen over one window.
struct limit_sample {
  // The slots that the backend server reports; 0 for none. It may lag or mislead.
  std::uint32_t reported_slots = 0;
  // The largest number of calls in flight.
  std::uint32_t peak_in_flight = 0;
  std::uint32_t finished = 0;
  std::uint64_t service_sum_us = 0;
  // Calls that the backend server itself refused for load.
  std::uint32_t backend_sheds = 0;
  // Whether calls wait for a slot.
  bool waiting = false;
  support::duration window{};

  bool operator==(const limit_sample&) const = default;
};

// What the limit's control remembers.
struct limit_state {
  // When the backend server announced itself; slow start counts from here.
  support::time_point ready_since{};
  // The bound by observation.
  double observed = 0.0;
  // Calls in flight that the server has carried lately without becoming slower; it decays.
  double proven = 0.0;
  // Service time in microseconds while the server was not saturated.
  double unsaturated_us = 0.0;
  // Figures of the window before a lowered limit was tried, and whether one is on trial.
  double rate_before = 0.0;
  double limit_before = 0.0;
  bool on_trial = false;
  // Windows until the next trial.
  std::uint32_t pause = 0;

  bool operator==(const limit_state&) const = default;
};

// The window in which samples are taken.
inline constexpr support::milliseconds limit_window{200};

// Takes in one window and returns the limit for the next, at least 1. A saturated server whose
// calls take longer than before is tried with a lower limit; the lower limit stays where as many
// calls finish as before, and goes back where fewer do, since then the calls themselves have
// become slower.
std::uint32_t update_limit(limit_state& state, const limit_settings& settings,
                           const limit_sample& sample, support::time_point now);

// Takes the figures of a window from the gate and sets them back.
limit_sample take_limit_sample(gate& state, std::uint32_t reported_slots,
                               std::uint32_t backend_sheds, support::duration window);

// The part of its full limit, from 0.1 to 1, that a server has this long after it was ready.
double slow_start_part(support::duration since_ready, support::duration slow_start);

} // namespace acaciasill::decide

#endif

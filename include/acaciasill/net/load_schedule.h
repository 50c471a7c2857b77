#ifndef ACACIASILL_NET_LOAD_SCHEDULE_H
#define ACACIASILL_NET_LOAD_SCHEDULE_H

#include <cstddef>
#include <optional>

#include "acaciasill/net/load_plan.h"
#include "acaciasill/support/random.h"

namespace acaciasill::net {

// Time range of constant arrival rate, relative to the start of the run.
struct rate_span {
  support::duration begin{0};
  support::duration end{0};
  // Arrivals per second.
  double rate = 0.0;

  bool operator==(const rate_span&) const = default;
};

// Arrival rates of one class over the complete run for one of `thread_count` threads, which share
// the rate equally.
std::vector<rate_span> class_schedule(const load_plan& plan, const load_class& call_class,
                                      std::uint32_t thread_count);

// Draws the next arrival after `after`; both are relative to the start of the run. Returns nullopt
// at the end of the schedule.
std::optional<support::duration> next_arrival(const std::vector<rate_span>& schedule,
                                              arrival_spacing spacing, support::duration after,
                                              support::random_source& random);

// Index of the phase that contains the given time; the last phase for times after the end.
std::size_t phase_at(const load_plan& plan, support::duration moment);

} // namespace acaciasill::net

#endif

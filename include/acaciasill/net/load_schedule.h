#ifndef ACACIASILL_NET_LOAD_SCHEDULE_H
#define ACACIASILL_NET_LOAD_SCHEDULE_H

#include <cstddef>
#include <optional>

#include "acaciasill/net/load_plan.h"
#include "acaciasill/support/random.h"

namespace acaciasill::net {

// A span of constant rate, counted from the start of the run.
struct rate_span {
  support::duration begin{0};
  support::duration end{0};
  // Arrivals a second.
  double rate = 0.0;

  bool operator==(const rate_span&) const = default;
};

// The rates of one class over the whole run, as one of `parts` equal parts.
std::vector<rate_span> class_schedule(const load_plan& plan, const load_class& kind,
                                      std::uint32_t parts);

// The first arrival after the moment given, counted from the start of the run; nothing once the
// schedule is over.
std::optional<support::duration> next_arrival(const std::vector<rate_span>& schedule,
                                              arrival_spacing spacing, support::duration after,
                                              support::random_source& random);

// The phase that holds the moment; the last one beyond the end.
std::size_t phase_at(const load_plan& plan, support::duration moment);

} // namespace acaciasill::net

#endif

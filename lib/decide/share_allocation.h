#ifndef ACACIASILL_LIB_DECIDE_SHARE_ALLOCATION_H
#define ACACIASILL_LIB_DECIDE_SHARE_ALLOCATION_H

#include "acaciasill/decide/threshold_controller.h"

namespace acaciasill::decide {

// Divides the controller's budget among the active organisations and writes their thresholds:
// first each one's guaranteed part, by its own most important levels; then the rest rank by rank,
// by weight within the rank where it runs out. A threshold falls at once and rises by at most
// `growth` sixteenths of a half class, since what lies above it is not known.
void allocate_shares(gate& state, const gate_view& view, threshold_controller& controller,
                     double growth);

// The threshold that admits about this many calls of a period.
level threshold_for(const organisation_demand& demand, double calls);

// The threshold after a rise by this many levels, not counting buckets that nobody uses.
level raise_threshold(const organisation_demand& demand, level threshold, double levels);

} // namespace acaciasill::decide

#endif

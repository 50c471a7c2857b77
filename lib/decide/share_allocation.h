#ifndef ACACIASILL_LIB_DECIDE_SHARE_ALLOCATION_H
#define ACACIASILL_LIB_DECIDE_SHARE_ALLOCATION_H

#include "acaciasill/decide/threshold_controller.h"

namespace acaciasill::decide {

// Divides the controller's budget among the active organisations and sets their thresholds: first
// the guaranteed part of each, by its own most important levels; then the rest rank by rank, by
// weight within the rank in which the budget runs out. A threshold falls at once and rises by at
// most `growth` sixteenths of a half class, since the demand above it is not known.
void allocate_shares(gate& state, const gate_view& view, threshold_controller& controller,
                     double growth);

// Returns the threshold that admits about this many calls per period.
level threshold_for(const organisation_demand& demand, double calls);

// Returns the threshold raised by this many levels, not counting unused buckets.
level raise_threshold(const organisation_demand& demand, level threshold, double levels);

} // namespace acaciasill::decide

#endif

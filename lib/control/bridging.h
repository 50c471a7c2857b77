#ifndef ACACIASILL_LIB_CONTROL_BRIDGING_H
#define ACACIASILL_LIB_CONTROL_BRIDGING_H

#include <string>

#include "node_state.h"

// Exchange with other data centres by the members that hold the bridge duty.
namespace acaciasill::control {

// Starts anti-entropy exchanges with each bridged data centre in turn, and forwards changes
// immediately.
void run_bridges(step_context& context);

// Records that a datagram arrived from the sender's data centre.
void record_bridge_traffic(step_context& context, const std::string& from);

// Returns the members to contact in a data centre: one of its duty holders or, if they are silent,
// random known members and seeds, including members considered dead.
std::vector<std::string> bridge_targets(step_context& context, const std::string& data_centre);

} // namespace acaciasill::control

#endif

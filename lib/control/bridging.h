#ifndef ACACIASILL_LIB_CONTROL_BRIDGING_H
#define ACACIASILL_LIB_CONTROL_BRIDGING_H

#include <string>

#include "node_state.h"

// The contact with other data centres, by the few members that hold the duty for each.
namespace acaciasill::control {

// Compares records with each bridged data centre in turn, and passes on changes at once.
void run_bridges(step_context& context);

// Notes that a data centre was heard from.
void note_heard(step_context& context, const std::string& from);

// The present counterparts in a data centre: the holders there, or, where they are silent, any
// member or row of first contact, those held to be dead included.
std::vector<std::string> counterparts(step_context& context, const std::string& data_centre);

} // namespace acaciasill::control

#endif

#ifndef ACACIASILL_LIB_CONTROL_OBJECT_FETCHING_H
#define ACACIASILL_LIB_CONTROL_OBJECT_FETCHING_H

#include <string>

#include "node_state.h"

// Fetches the object of a newer configuration from peers in parts, or whole from the platform.
namespace acaciasill::control {

// Asks for the next part, from another source where the last one failed.
void ask_for_part(step_context& context);

// Counts a failure of the present source and asks elsewhere.
void fail_source(step_context& context, bool forget_base);

// Chases a part that is late.
void run_fetch(step_context& context);

// Takes in a part; returns the whole object once its digest is right.
std::optional<std::string> take_part(step_context& context, const std::string& from,
                                     const chunk& body);

// The part of an object that a peer asked for; nothing where this node does not hold it.
std::optional<chunk> cut_part(const configuration_state& configuration, const chunk_request& body);

} // namespace acaciasill::control

#endif

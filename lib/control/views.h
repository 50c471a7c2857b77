#ifndef ACACIASILL_LIB_CONTROL_VIEWS_H
#define ACACIASILL_LIB_CONTROL_VIEWS_H

#include "node_state.h"

// The view of the members that the request path reads.
namespace acaciasill::control {

// Publishes a new view where something in it has changed.
void publish_changes(step_context& context);

} // namespace acaciasill::control

#endif

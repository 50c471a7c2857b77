#ifndef ACACIASILL_LIB_CONTROL_VIEWS_H
#define ACACIASILL_LIB_CONTROL_VIEWS_H

#include "node_state.h"

// The view of the members that the request path reads.
namespace acaciasill::control {

// Publishes a new view where something in it has changed; what does not have to be known at once
// waits for a while, so that a burst of news makes one view.
void publish_changes(step_context& context, bool at_once);

} // namespace acaciasill::control

#endif

#ifndef ACACIASILL_LIB_CONTROL_VIEWS_H
#define ACACIASILL_LIB_CONTROL_VIEWS_H

#include "node_state.h"

// Publication of the cluster view that the request path reads.
namespace acaciasill::control {

// Publishes a new view if its contents have changed. Unless at_once is set, publications are
// rate-limited so that a burst of updates yields one view.
void publish_changes(step_context& context, bool at_once);

} // namespace acaciasill::control

#endif

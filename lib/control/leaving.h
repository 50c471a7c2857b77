#ifndef ACACIASILL_LIB_CONTROL_LEAVING_H
#define ACACIASILL_LIB_CONTROL_LEAVING_H

#include "node_state.h"

// Lifecycle of the local backend server and graceful shutdown of the node.
namespace acaciasill::control {

void handle_backend_announced(step_context& context, const backend_announced& announced);
void handle_backend_reported(step_context& context, const backend_reported& reported);
void handle_backend_left(step_context& context);

// Publishes the latest backend report in this node's record, at most once per second.
void run_reports(step_context& context);

// Starts a graceful leave: new work is refused and the draining state is gossiped immediately.
void begin_leave(step_context& context);

// Completes the leave once no call is in flight and the draining state has had time to spread.
void run_leave(step_context& context);

} // namespace acaciasill::control

#endif

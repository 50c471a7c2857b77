#ifndef ACACIASILL_LIB_CONTROL_LEAVING_H
#define ACACIASILL_LIB_CONTROL_LEAVING_H

#include "node_state.h"

// The backend server's and the process's ways in and out.
namespace acaciasill::control {

void take_announcement(step_context& context, const backend_announced& announced);
void take_report(step_context& context, const backend_reported& reported);
void take_backend_left(step_context& context);

// Spreads the latest report, no more than once in a second.
void run_reports(step_context& context);

// Begins to leave: new work is refused, and the others are told before anything else.
void begin_leave(step_context& context);

// Leaves once nothing is in flight and the news had time to spread.
void run_leave(step_context& context);

} // namespace acaciasill::control

#endif

#ifndef ACACIASILL_LIB_CONTROL_BOOTSTRAP_H
#define ACACIASILL_LIB_CONTROL_BOOTSTRAP_H

#include <string>

#include "node_state.h"

// Bootstrap: a node joins through the seeds in its settings and through seed rows in the table.
// Each data centre has a few seed rows, kept up to date by holders of that duty.
namespace acaciasill::control {

// Requests all records until a peer has answered, and maintains the seed row if this node holds
// that duty.
void run_bootstrap(step_context& context);

// Handles one page of records.
void handle_page(step_context& context, const std::string& from, const page& body);

// Handles a platform answer. Returns false if the answer does not belong to this module.
bool handle_bootstrap_answer(step_context& context, const platform_answer& answer);

// Discards requests sent before a pause.
void reset_bootstrap_requests(step_context& context);

} // namespace acaciasill::control

#endif

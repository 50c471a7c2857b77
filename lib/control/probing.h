#ifndef ACACIASILL_LIB_CONTROL_PROBING_H
#define ACACIASILL_LIB_CONTROL_PROBING_H

#include <string>

#include "node_state.h"

// SWIM-style failure detection in the local data centre: one direct probe per period, followed by
// indirect probes through other members.
namespace acaciasill::control {

// Sends the probes that are due, and suspects a member that answered neither directly nor
// indirectly.
void run_probes(step_context& context);

void handle_probe(step_context& context, const std::string& from, const probe& body);
void handle_probe_ack(step_context& context, const std::string& from, const probe_ack& body);
void handle_indirect_probe(step_context& context, const std::string& from,
                           const indirect_probe& body);

// Treats an answered call to the probed member as its acknowledgement.
void handle_call_finished(node_state& state, const call_finished& call);

// Discards the pending probe and restarts suspicion timeouts, so that a pause of this process is
// not attributed to its peers.
void reset_probes(step_context& context);

} // namespace acaciasill::control

#endif

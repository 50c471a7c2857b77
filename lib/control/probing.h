#ifndef ACACIASILL_LIB_CONTROL_PROBING_H
#define ACACIASILL_LIB_CONTROL_PROBING_H

#include <string>

#include "node_state.h"

// Probes of the own data centre's members: one member in each period, then others are asked.
namespace acaciasill::control {

// Sends what is due, and suspects a member that answered nobody.
void run_probes(step_context& context);

void take_probe(step_context& context, const std::string& from, const probe& body);
void take_ack(step_context& context, const std::string& from, const probe_ack& body);
void take_indirect_probe(step_context& context, const std::string& from,
                         const indirect_probe& body);

// Counts an answered call to the probed member as its acknowledgement.
void take_finished_call(node_state& state, const call_finished& call);

// Forgets the probe under way, so that a pause of this process is held against nobody.
void forget_probes(step_context& context);

} // namespace acaciasill::control

#endif

#ifndef ACACIASILL_LIB_CONTROL_CONFIGURATION_SPREAD_H
#define ACACIASILL_LIB_CONTROL_CONFIGURATION_SPREAD_H

#include <string>

#include "node_state.h"

// How the configuration in force comes to every node: a few read the table's head, the others hear
// of the generation from peers, and the object comes as a difference from what a node holds.
namespace acaciasill::control {

// Reads the head where this node has the duty, offers what is new, and chases a fetch that stalls.
void run_configuration(step_context& context);

// Asks several peers and the table at once, after the start or a pause.
void ask_for_configuration(step_context& context);

// Notes the generation that a peer's datagram carries.
void note_generation(step_context& context, const std::string& from, std::uint64_t generation);

void take_configuration_query(step_context& context, const std::string& from);
void take_configuration_offer(step_context& context, const std::string& from,
                              const configuration_offer& body);
void take_chunk_request(step_context& context, const std::string& from, const chunk_request& body);
void take_chunk(step_context& context, const std::string& from, const chunk& body);

// Takes the platform's answer where it belongs to this part.
bool take_configuration_answer(step_context& context, const platform_answer& answer);

// Whether the node may serve by what it knows of the configuration.
bool configuration_is_settled(const node_state& state);

} // namespace acaciasill::control

#endif

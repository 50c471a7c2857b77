#ifndef ACACIASILL_LIB_CONTROL_CONFIGURATION_DISTRIBUTION_H
#define ACACIASILL_LIB_CONTROL_CONFIGURATION_DISTRIBUTION_H

#include <string>

#include "node_state.h"

// Distribution of the configuration. A few nodes read the table's head; the others learn of a new
// generation from peers and fetch the object as a difference from the one they hold.
namespace acaciasill::control {

// Reads the head if this node holds the duty, offers a new configuration to peers, and retries a
// stalled fetch.
void run_configuration(step_context& context);

// Queries several peers and the table after a start or a pause.
void query_configuration(step_context& context);

// Handles the generation carried by a peer's datagram and queries the peer if it is newer.
void handle_peer_generation(step_context& context, const std::string& from,
                            std::uint64_t generation);

void handle_configuration_query(step_context& context, const std::string& from);
void handle_configuration_offer(step_context& context, const std::string& from,
                                const configuration_offer& body);
void handle_chunk_request(step_context& context, const std::string& from,
                          const chunk_request& body);
void handle_chunk(step_context& context, const std::string& from, const chunk& body);

// Handles a platform answer. Returns false if the answer does not belong to this module.
bool handle_configuration_answer(step_context& context, const platform_answer& answer);

// Whether enough is known about the current configuration for the node to serve.
bool is_configuration_settled(const node_state& state);

} // namespace acaciasill::control

#endif

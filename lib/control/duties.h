#ifndef ACACIASILL_LIB_CONTROL_DUTIES_H
#define ACACIASILL_LIB_CONTROL_DUTIES_H

#include <string>
#include <vector>

#include "node_state.h"

// Assignment of duties to members by rendezvous hashing over the records. Duties are not exclusive:
// nodes with different records may hold the same duty, and every duty tolerates this.
namespace acaciasill::control {

// Returns the first `count` alive members of the data centre in the duty's hash order. Draining
// members rank last.
std::vector<std::string> duty_holders(const node_state& state, const std::string& data_centre,
                                      const std::string& duty, std::size_t count);

// Returns the name of the duty of exchanging records with another data centre.
std::string bridge_duty(const std::string& data_centre);

// Recomputes this node's duties if records have changed.
void update_duties(step_context& context);

} // namespace acaciasill::control

#endif

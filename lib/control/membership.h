#ifndef ACACIASILL_LIB_CONTROL_MEMBERSHIP_H
#define ACACIASILL_LIB_CONTROL_MEMBERSHIP_H

#include <string>

#include "node_state.h"

// What a node makes of records that it hears, and what it says of itself.
namespace acaciasill::control {

// Takes in a record that a peer sent, where it wins and its detail is wanted.
void apply_record(step_context& context, const member& heard);

// Takes in a mark of a whole data centre.
void apply_mark(step_context& context, const data_centre_mark& heard);

// Raises the own incarnation, after the change was made, and spreads the own record.
void announce_self(node_state& state, member changed, bool urgent);

// Suspects a member of the own data centre that did not answer.
void suspect_member(step_context& context, const std::string& address);

// Declares members dead that were suspected for too long, and forgets those gone for long.
void expire_records(step_context& context);

// Drops detail that is no longer kept here.
void sweep_detail(node_state& state);

// Whether the sender's datagram shows that it does not know what is known of it here.
bool sender_is_behind(const node_state& state, const std::string& from, const datagram& message);

} // namespace acaciasill::control

#endif

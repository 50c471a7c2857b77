#ifndef ACACIASILL_LIB_CONTROL_MEMBERSHIP_H
#define ACACIASILL_LIB_CONTROL_MEMBERSHIP_H

#include <string>

#include "node_state.h"

// Handling of received membership records, and changes of the node's own record.
namespace acaciasill::control {

// Applies a record received from a peer if it supersedes the stored one and this node keeps the
// member.
void apply_record(step_context& context, const member& received);

// Applies a reachability mark of a data centre.
void apply_mark(step_context& context, const data_centre_mark& received);

// Publishes a change of the node's own record with an incremented incarnation.
void publish_self(node_state& state, member changed, bool urgent);

// Marks an alive member that did not answer as suspect.
void suspect_member(step_context& context, const std::string& address);

// Declares members dead whose suspicion timed out, and erases dead and left members after the
// retention time.
void expire_records(step_context& context);

// Erases records of running members that this node no longer needs to keep.
void erase_unkept_records(node_state& state);

// Whether the sender's view of itself is older than the record held here, or the record is not
// alive here.
bool sender_is_behind(const node_state& state, const std::string& from, const datagram& message);

} // namespace acaciasill::control

#endif

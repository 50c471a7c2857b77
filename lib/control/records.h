#ifndef ACACIASILL_LIB_CONTROL_RECORDS_H
#define ACACIASILL_LIB_CONTROL_RECORDS_H

#include <string>
#include <vector>

#include "node_state.h"

// The table of members: which record wins, who keeps which detail, and digests over it.
namespace acaciasill::control {

// The largest incarnation that is believed; a real one stays far below it.
inline constexpr std::uint64_t max_incarnation = 1ULL << 48U;

// The largest number of records that a node holds.
inline constexpr std::size_t max_records = 20000;

// Whether a record replaces another one of the same address. It is a strict order, so that nodes
// agree in whatever order records arrive.
bool supersedes(const member& left, const member& right);

// Whether a record from a peer may enter the table at all.
bool is_valid_record(const member& fields);

// Whether a member's process is thought to run.
bool is_running(const member& fields);

// The record of an address, or null.
const record* find_record(const node_state& state, const std::string& address);

// The node's own record.
const member& self_of(const node_state& state);
bool is_self(const node_state& state, const std::string& address);

// Whether the address belongs to the own data centre.
bool is_local_peer(const node_state& state, const std::string& address);

// Writes a record and keeps the indexes; the caller has decided that it wins.
void store_record(node_state& state, const member& fields);

// Removes a record.
void erase_record(node_state& state, const std::string& address);

// Whether every node of the own data centre keeps this member: a local one, one of a service that
// is called here, or one of the bounded sample of its service.
bool is_shared(const node_state& state, const member& fields);

// Whether this node keeps the member.
bool keeps_detail(const node_state& state, const member& fields);

// The record as it goes into a datagram, with its age of this moment.
member stamp_record(const node_state& state, const record& entry);

// Digests over the records of a data centre that run.
const scope_cache& scope_of(node_state& state, const std::string& data_centre, bool shared);

// The bucket of an address.
std::uint32_t bucket_of(const std::string& address);

// Addresses of running members of a data centre other than this node, in their order.
std::vector<std::string> running_members(const node_state& state, const std::string& data_centre);

// Whether no other member of the own data centre is known to run.
bool is_alone(const node_state& state);

// Works out anew which services are called from the own data centre.
void update_wanted_services(node_state& state);

} // namespace acaciasill::control

#endif

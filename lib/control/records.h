#ifndef ACACIASILL_LIB_CONTROL_RECORDS_H
#define ACACIASILL_LIB_CONTROL_RECORDS_H

#include <string>
#include <vector>

#include "node_state.h"

// Membership table: precedence of records, which records a node keeps, and digests over them.
namespace acaciasill::control {

// Exclusive upper limit of incarnations accepted from peers, far above any that occurs.
inline constexpr std::uint64_t max_incarnation = 1ULL << 48U;

// Maximum number of records that a node holds.
inline constexpr std::size_t max_records = 20000;

// Whether `left` supersedes `right`, a record of the same address. This is a strict order, so nodes
// converge regardless of the order in which records arrive.
bool supersedes(const member& left, const member& right);

// Whether a record received from a peer is well-formed.
bool is_valid_record(const member& fields);

// Whether the member is assumed to be running (alive or suspect).
bool is_running(const member& fields);

// Returns the record of an address, or null.
const record* find_record(const node_state& state, const std::string& address);

// Returns the node's own record.
const member& self_of(const node_state& state);
bool is_self(const node_state& state, const std::string& address);

// Whether the address is that of a member of the local data centre.
bool is_local_peer(const node_state& state, const std::string& address);

// Stores a record and updates the indexes. The caller has checked its precedence.
void store_record(node_state& state, const member& fields);

// Removes a record.
void erase_record(node_state& state, const std::string& address);

// Whether every node of the local data centre keeps this member: it is local, its service is called
// from here, or it is in the bounded sample of its service.
bool is_shared(const node_state& state, const member& fields);

// Whether this node keeps the member's record, as a shared one or for a bridge.
bool keeps_record(const node_state& state, const member& fields);

// Returns the record with its current age, as sent in a datagram.
member stamp_record(const node_state& state, const record& entry);

// Returns the digests over the running members of a data centre, cached until a record changes.
const scope_cache& scope_of(node_state& state, const std::string& data_centre, bool shared);

// Returns the digest bucket of an address.
std::uint32_t bucket_of(const std::string& address);

// Returns the addresses of running members of a data centre in sorted order, excluding this node.
std::vector<std::string> running_members(const node_state& state, const std::string& data_centre);

// Whether no other member of the local data centre is known to be running.
bool is_alone(const node_state& state);

// Recomputes which services are called from the local data centre.
void update_called_services(node_state& state);

} // namespace acaciasill::control

#endif

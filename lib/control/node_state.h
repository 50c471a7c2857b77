#ifndef ACACIASILL_LIB_CONTROL_NODE_STATE_H
#define ACACIASILL_LIB_CONTROL_NODE_STATE_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "acaciasill/control/node.h"

// State of a node, with one struct per module.
namespace acaciasill::control {

// A platform request that awaits its answer. Ticket 0 means none.
struct pending_request {
  std::uint64_t ticket = 0;
  // Time after which the answer counts as lost, even if the driver reports nothing.
  support::time_point expires;
};

// A member's record as stored by this node, including its own.
struct record {
  member fields;
  // Time at which the record entered its present state on this node.
  support::time_point state_since;
  // Time at which the backend server announced itself, by the local clock.
  support::time_point announced_at;
  // Value of record_table::changes when the record last changed.
  std::uint64_t changed_at = 0;
};

// Cached digests of the records of one data centre, valid until a record changes.
struct scope_cache {
  std::uint32_t members = 0;
  std::uint64_t digest = 0;
  std::vector<std::uint64_t> buckets;
};

// Caches for one data centre: over all its records, and over those shared by all nodes of the local
// data centre.
struct scope_caches {
  std::optional<scope_cache> whole;
  std::optional<scope_cache> shared;
};

// All records and their indexes, keyed by gossip address.
struct record_table {
  std::map<std::string, record> by_address;
  std::map<std::string, std::set<std::string>> by_data_centre;
  std::map<std::string, std::set<std::string>> by_service;
  std::map<std::string, std::string> by_call_address;
  std::map<std::string, scope_caches> caches;
  std::uint64_t changes = 0;
};

// A record queued for gossip.
struct queued_update {
  std::uint32_t sent = 0;
  // Whether the record announces a leave and is sent before others.
  bool urgent = false;
};

// Updates to be piggybacked on the next datagrams.
struct gossip_queue {
  std::map<std::string, queued_update> records;
  // Number of datagrams that have carried each mark, by data centre.
  std::map<std::string, std::uint32_t> marks;
  // Number of offers of the configuration in force that remain to be sent.
  std::uint32_t offers_left = 0;
};

// A probe sent on behalf of another member.
struct relay {
  std::string requester;
  std::uint64_t requester_sequence = 0;
  support::time_point expires;
};

// Failure detection of local members.
struct probe_state {
  // Members not yet probed in this round, in random order.
  std::vector<std::string> round;
  std::string target;
  std::uint64_t sequence = 0;
  support::time_point started;
  bool acknowledged = true;
  bool indirect_probes_sent = false;
  support::time_point next;
  support::time_point next_dead;
  std::map<std::uint64_t, relay> relays;
  std::uint64_t next_sequence = 1;
};

// State of the bridge to one other data centre.
struct bridge {
  support::time_point next;
  std::optional<support::time_point> last_heard;
  support::time_point held_since;
  // Value of record_table::changes up to which changes were forwarded.
  std::uint64_t forwarded_changes = 0;
  // Configuration generation that was last offered.
  std::uint64_t offered_generation = 0;
};

// Duties held by this node, computed from the records.
struct duty_state {
  std::uint64_t computed_at_change = 0;
  bool polls_head = false;
  // Index of the seed row that this node maintains; nullopt for none.
  std::optional<std::uint32_t> seed_row;
  std::map<std::string, bridge> bridges;
};

// State of joining and of the table's seed rows.
struct bootstrap_state {
  // Gossip addresses in the table's seed rows, by data centre.
  std::map<std::string, std::set<std::string>> seeds;
  bool joined = false;
  std::string page_peer;
  std::string page_after;
  support::time_point next_page_request;
  support::time_point next_listing;
  pending_request list_request;
  pending_request row_request;
  pending_request write_request;
  support::time_point next_write;
  std::uint32_t failures = 0;
};

// A stored configuration object.
struct held_object {
  std::string digest;
  std::string bytes;
};

// A configuration object being fetched in chunks.
struct object_fetch {
  std::uint64_t generation = 0;
  std::string digest;
  // Whether the object was named by the table's head rather than by a peer.
  bool authoritative = false;
  // Peers that have offered the object.
  std::vector<std::string> sources;
  std::string source;
  support::time_point asked_at;
  // Time of the first chunk request, unless a peer offers the object earlier.
  support::time_point starts_at;
  bool begun = false;
  std::uint32_t failures = 0;
  bool without_base = false;
  // Most recent chunk, which gives base, prefix, suffix and total; nullopt before the first one.
  std::optional<chunk> layout;
  std::string middle;
  pending_request request;
};

// The configuration in force and the fetch of the next one.
struct configuration_state {
  std::uint64_t generation = 0;
  held_object in_force;
  // Previous objects, used as difference bases for peers that lag behind.
  std::deque<held_object> previous;
  std::optional<object_fetch> fetch;
  pending_request head_request;
  // Whether a conflict among peers requires a read of the head, scheduled at a random time.
  bool head_read_wanted = false;
  support::time_point next_head;
  std::uint32_t head_failures = 0;
  // Outdated generation in the head that was last logged.
  std::uint64_t logged_older = 0;
  // Peers that have answered since the start or the last pause, and whether the table has.
  std::set<std::string> answered;
  bool head_answered = false;
  // Earliest time of the next query, so that one tick sends at most one.
  support::time_point next_query;
};

// State of a graceful leave.
struct leave_state {
  std::optional<support::time_point> began_at;
  std::optional<std::uint64_t> in_flight;
  std::optional<support::time_point> left_at;
  bool exit_announced = false;
};

// Complete state of a node.
struct node_state {
  node_settings settings;
  bool started = false;
  support::time_point now;
  support::time_point next_tick;
  support::time_point next_sync;
  support::time_point next_sweep;
  support::time_point next_expiry;
  support::time_point next_view;
  support::time_point next_self_change;
  // End of the refresh period, in which a started or resumed node queries others before it acts on
  // its duties.
  support::time_point refresh_until;
  bool confirmed = true;
  bool ready = false;
  // Latest backend report that is not yet reflected in the node's own record.
  std::optional<backend_reported> unpublished_report;
  bool backend_draining = false;
  // Senders that received a correction recently, with the time from which another may be sent.
  std::map<std::string, support::time_point> throttled_senders;
  // Call graph of the services, and the services called from the local data centre according to it.
  std::map<std::string, std::set<std::string>> call_graph;
  std::set<std::string> called_services;
  std::map<std::string, data_centre_mark> marks;
  std::uint64_t next_ticket = 1;

  record_table records;
  gossip_queue outgoing;
  probe_state probes;
  duty_state duties;
  bootstrap_state bootstrap;
  configuration_state configuration;
  leave_state leave;
  cluster_view published;
  bool view_changed = true;
};

// Context of one step: state, random source and the driver's action buffer.
struct step_context {
  node_state& state;
  support::random_source& random;
  std::vector<action>& actions;
};

} // namespace acaciasill::control

#endif

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

// The state of a node, in one struct for each of its parts.
namespace acaciasill::control {

// A request to the platform whose answer is awaited. Ticket 0 stands for none.
struct pending_request {
  std::uint64_t ticket = 0;
  // When the answer counts as lost, even if the driver does not say so.
  support::time_point expires;
};

// What a node holds of one member, itself included.
struct record {
  member fields;
  // When the record took its present state here.
  support::time_point state_since;
  // When the backend server announced itself, by the local clock.
  support::time_point announced_at;
  // The value of record_table::changes when the record last changed.
  std::uint64_t changed_at = 0;
};

// Digests over the records of one data centre, kept until a record changes.
struct scope_cache {
  std::uint32_t members = 0;
  std::uint64_t digest = 0;
  std::vector<std::uint64_t> buckets;
};

// Caches for one data centre: over all records, and over those that the own data centre shares.
struct scope_caches {
  std::optional<scope_cache> whole;
  std::optional<scope_cache> shared;
};

// All records, with the indexes that the parts need. The keys are gossip addresses.
struct record_table {
  std::map<std::string, record> by_address;
  std::map<std::string, std::set<std::string>> by_data_centre;
  std::map<std::string, std::set<std::string>> by_service;
  std::map<std::string, std::string> by_call_address;
  std::map<std::string, scope_caches> caches;
  std::uint64_t changes = 0;
};

// A record that is still to be spread.
struct rumour {
  std::uint32_t sent = 0;
  // Whether it tells of a leave, which goes before everything else.
  bool urgent = false;
};

// What goes out with the next datagrams.
struct rumour_queue {
  std::map<std::string, rumour> records;
  // The number of datagrams that have carried each mark, by data centre.
  std::map<std::string, std::uint32_t> marks;
  // Datagrams that are still to announce the configuration in force.
  std::uint32_t offers_left = 0;
};

// A probe that was sent on behalf of another member.
struct relay {
  std::string asker;
  std::uint64_t asker_sequence = 0;
  support::time_point expires;
};

// The probes of the own data centre's members.
struct probe_state {
  // Members that are still to be probed in this round, in random order.
  std::vector<std::string> round;
  std::string target;
  std::uint64_t sequence = 0;
  support::time_point started;
  bool acknowledged = true;
  bool asked_others = false;
  support::time_point next;
  support::time_point next_dead;
  std::map<std::uint64_t, relay> relays;
  std::uint64_t next_sequence = 1;
};

// The contact with one other data centre.
struct bridge {
  support::time_point next;
  std::optional<support::time_point> last_heard;
  support::time_point held_since;
  // The value of record_table::changes up to which changes were passed on.
  std::uint64_t forwarded = 0;
  // The generation that was passed on last.
  std::uint64_t offered = 0;
};

// The duties that this node holds, worked out from the records.
struct duty_state {
  std::uint64_t worked_out_at = 0;
  bool polls_head = false;
  // The row of first contact that this node keeps; nothing for none.
  std::optional<std::uint32_t> seed_row;
  std::map<std::string, bridge> bridges;
};

// The first contact and the rows of the table that serve it.
struct contact_state {
  // Gossip addresses of the table's rows by data centre.
  std::map<std::string, std::set<std::string>> seeds;
  bool joined = false;
  std::string page_peer;
  std::string page_after;
  support::time_point next_ask;
  support::time_point next_look;
  pending_request list_request;
  pending_request row_request;
  pending_request write_request;
  support::time_point next_write;
  std::uint32_t failures = 0;
};

// A configuration object that is held.
struct held_object {
  std::string digest;
  std::string bytes;
};

// The object that is being fetched, in parts.
struct object_fetch {
  std::uint64_t generation = 0;
  std::string digest;
  // Whether the table's head, not a peer, named this object.
  bool authoritative = false;
  // Peers that have offered it.
  std::vector<std::string> sources;
  std::string source;
  support::time_point asked_at;
  // When the first part is asked for, if no peer has offered the object before.
  support::time_point begins_at;
  bool begun = false;
  std::uint32_t failures = 0;
  bool refuse_base = false;
  // The first part of the object as a difference; nothing before the first answer.
  std::optional<chunk> shape;
  std::string middle;
  pending_request request;
};

// The configuration in force and the way to the next one.
struct configuration_state {
  std::uint64_t generation = 0;
  held_object in_force;
  // The objects before it, which serve as a base for peers that are behind.
  std::deque<held_object> previous;
  std::optional<object_fetch> fetch;
  pending_request head_request;
  // Whether a conflict among peers asks for a look at the head, at a random moment.
  bool head_wanted = false;
  support::time_point next_head;
  std::uint32_t head_failures = 0;
  // The older generation of which the log has told.
  std::uint64_t logged_older = 0;
  // Peers that have answered since the start or the last pause, and whether the table has.
  std::set<std::string> answered;
  bool head_answered = false;
  // The generation that was last asked for, so that one tick asks once.
  support::time_point next_query;
};

// The way out.
struct leave_state {
  std::optional<support::time_point> began;
  std::optional<std::uint64_t> in_flight;
  std::optional<support::time_point> left_at;
  bool told_driver = false;
};

// Everything that a node knows.
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
  // Until when a fresh or resumed node asks before it acts on its duties.
  support::time_point refresh_until;
  bool confirmed = true;
  bool ready = false;
  // The backend server's latest report, where it is not yet in the own record.
  std::optional<backend_reported> unpublished_report;
  bool backend_draining = false;
  // Other addresses that are answered at most once in a period.
  std::map<std::string, support::time_point> strangers;
  // The services that the own data centre's services call, and the graph that they follow from.
  std::map<std::string, std::set<std::string>> call_graph;
  std::set<std::string> wanted_services;
  std::map<std::string, data_centre_mark> marks;
  std::uint64_t next_ticket = 1;

  record_table records;
  rumour_queue rumours;
  probe_state probes;
  duty_state duties;
  contact_state contact;
  configuration_state configuration;
  leave_state leave;
  cluster_view published;
  bool view_changed = true;
};

// What one step works with: the state, the source of randomness and the driver's buffer.
struct step_context {
  node_state& state;
  support::random_source& random;
  std::vector<action>& actions;
};

} // namespace acaciasill::control

#endif

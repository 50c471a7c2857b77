#ifndef ACACIASILL_CONTROL_NODE_H
#define ACACIASILL_CONTROL_NODE_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "acaciasill/control/messages.h"
#include "acaciasill/control/platform.h"
#include "acaciasill/support/log.h"
#include "acaciasill/support/random.h"
#include "acaciasill/support/time.h"

// The boundary of the control part: events and a time go in, actions come out. A driver may hold
// any number of nodes in one process; a node reads no clock, opens no socket and starts no thread.
// Events of one node are given one after another.
namespace acaciasill::control {

// ---- Settings ----

// Periods and timeouts of the control part.
struct node_timings {
  // Between two ticks of the node's timer; each tick gossips what is new.
  support::milliseconds tick{100};
  // Between two probes of a member of the own data centre.
  support::milliseconds probe_period{1000};
  // How long an acknowledgement may take before others are asked to probe.
  support::milliseconds probe_timeout{300};
  // How long a suspected member has to refute, for each decimal digit of the data centre's size.
  support::milliseconds suspicion{2000};
  // Between two comparisons of all records with a random peer of the own data centre.
  support::milliseconds sync_period{5000};
  // Between two comparisons with a counterpart in another data centre, by a holder of that duty.
  support::milliseconds bridge_period{1000};
  // Between two probes of members that are held to be dead.
  support::milliseconds dead_retry_period{2000};
  // How long a record of a dead or left member is kept.
  support::milliseconds gone_retention{7200000};
  // Between two reads of the configuration's head by a holder of that duty.
  support::milliseconds head_period{1000};
  // Between two looks of a duty holder at the table's rows of first contact.
  support::milliseconds seeds_period{10000};
  // The longest backoff after the platform failed.
  support::milliseconds platform_backoff{8000};
  // How long a peer may take over one part of a configuration object.
  support::milliseconds chunk_timeout{400};
  // A longer gap between two steps means that the process was stopped.
  support::milliseconds pause_threshold{1500};
  // How long a data centre may be silent before its members count as suspect.
  support::milliseconds silence{5000};
  // The shortest time between the begin of a shutdown and the end of the process.
  support::milliseconds leave_spread{1000};
  // How long a fresh or resumed node asks before it goes on with what it has.
  support::milliseconds fresh_wait{3000};

  bool operator==(const node_timings&) const = default;
};

// What a node is told at its start.
struct node_settings {
  std::string name;
  std::string data_centre;
  std::string region;
  // "ip:port" numbers: where others send calls (TCP) and datagrams (UDP).
  std::string call_address;
  std::string gossip_address;
  // Gossip addresses for the first contact, before the table's rows.
  std::vector<std::string> seeds;
  // Holders of each duty: reading the head, bridging to one other data centre.
  std::uint32_t pollers = 2;
  std::uint32_t bridges = 2;
  // Rows of first contact for each data centre.
  std::uint32_t seed_rows = 3;
  // Members that are asked to probe on behalf of this one.
  std::uint32_t indirect_probes = 3;
  // Members that each tick's gossip goes to.
  std::uint32_t gossip_fanout = 3;
  // Remote members of a service that nobody in the data centre is known to call.
  std::uint32_t remote_sample = 4;
  // Whether a fresh node serves by its embedded defaults when nobody can be asked.
  bool serve_without_configuration = false;
  node_timings timings;

  bool operator==(const node_settings&) const = default;
};

// ---- Events ----

// The process has started.
struct node_started {
  bool operator==(const node_started&) const = default;
};

// A datagram arrived. The address is the one that the socket reports, not one that was claimed.
struct peer_received {
  std::string from;
  datagram message;

  bool operator==(const peer_received&) const = default;
};

// The timer fired that the node set last.
struct timer_fired {
  bool operator==(const timer_fired&) const = default;
};

// The local backend server announced itself, again after a restart.
struct backend_announced {
  std::string service;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  // Its "ip:port" number; other daemons never use it.
  std::string address;

  bool operator==(const backend_announced&) const = default;
};

// The local backend server reported on itself.
struct backend_reported {
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  bool draining = false;

  bool operator==(const backend_reported&) const = default;
};

// The local backend server said goodbye or is lost; the daemon goes on without one.
struct backend_left {
  bool operator==(const backend_left&) const = default;
};

// A call to another daemon ended. An answered one shows that its daemon lives.
struct call_finished {
  std::string call_address;
  bool answered = false;

  bool operator==(const call_finished&) const = default;
};

// The process was asked to end gracefully.
struct shutdown_requested {
  bool operator==(const shutdown_requested&) const = default;
};

// How many calls the driver has in flight, sent whenever it changes while the node drains.
struct in_flight_reported {
  std::uint64_t calls = 0;

  bool operator==(const in_flight_reported&) const = default;
};

// The services that one service calls.
struct service_calls {
  std::string service;
  std::vector<std::string> calls;

  bool operator==(const service_calls&) const = default;
};

// The call graph of the configuration that the driver took over; detail of remote members is kept
// for the services that services of the own data centre call.
struct services_configured {
  std::vector<service_calls> services;

  bool operator==(const services_configured&) const = default;
};

using event = std::variant<node_started, peer_received, platform_answer, timer_fired,
                           backend_announced, backend_reported, backend_left, call_finished,
                           shutdown_requested, in_flight_reported, services_configured>;

// ---- Actions ----

// Sends a datagram; it may be lost, doubled or late.
struct send_datagram {
  std::string to;
  datagram message;

  bool operator==(const send_datagram&) const = default;
};

// Asks for timer_fired at this moment. A node has one timer; a later action replaces an earlier
// one.
struct set_timer {
  support::time_point at;

  bool operator==(const set_timer&) const = default;
};

// A member as the request path sees it.
struct view_member {
  std::string call_address;
  std::string name;
  std::string data_centre;
  std::string service;
  std::uint64_t incarnation = 0;
  // Differs between two lives of a process at one address.
  std::uint64_t start_nonce = 0;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  bool suspect = false;
  // Whether the member takes no new work.
  bool draining = false;
  // When its backend server announced itself, by the local monotonic clock.
  support::time_point cold_since;

  bool operator==(const view_member&) const = default;
};

// The members that may be called, in the order of service, data centre and call address. Dead and
// left ones are not in it.
struct cluster_view {
  // Rises by one with each view of a node.
  std::uint64_t version = 0;
  std::vector<view_member> members;
  // Whether the node holds what it needs to serve: a configuration, or leave to do without.
  bool ready = false;
  // Whether this node is leaving; its daemon refuses new work.
  bool leaving = false;
  // False from a pause of the process until the node has asked again.
  bool confirmed = true;

  bool operator==(const cluster_view&) const = default;
};

// Puts a new view in force.
struct publish_view {
  cluster_view view;

  bool operator==(const publish_view&) const = default;
};

// Puts a configuration in force. Its digest has been checked. The generation rises each time, but
// for a repair: where the platform's head names another object for the generation in force, that
// object replaces the one that a peer had offered.
struct publish_configuration {
  std::uint64_t generation = 0;
  std::string digest;
  std::string bytes;

  bool operator==(const publish_configuration&) const = default;
};

// Writes a line to the log.
struct log_line {
  support::log_level level = support::log_level::info;
  std::string part;
  std::string text;

  bool operator==(const log_line&) const = default;
};

// Nothing is in flight and the others were told: the process may end.
struct ready_to_exit {
  bool operator==(const ready_to_exit&) const = default;
};

using action = std::variant<send_datagram, platform_request, set_timer, publish_view,
                            publish_configuration, log_line, ready_to_exit>;

// ---- The step ----

struct node_state;

struct node_state_deleter {
  void operator()(node_state* state) const;
};

using node_state_ptr = std::unique_ptr<node_state, node_state_deleter>;

// Makes the state of a node that has not started.
node_state_ptr make_node(const node_settings& settings);

// A copy of a state, for drivers that explore several continuations.
node_state_ptr copy_node(const node_state& state);

// Takes one event at a moment of monotonic time and appends what has to be done, in order. A time
// before that of the last step counts as that of the last step. Throws nothing but bad_alloc.
void step(node_state& state, const event& input, support::time_point now,
          support::random_source& random, std::vector<action>& actions);

// ---- Observation, for status pages and tests ----

// What a node tells of itself.
struct node_status {
  member self;
  // Records by state, own data centre and others.
  std::uint32_t local_members = 0;
  std::uint32_t remote_members = 0;
  std::uint32_t suspect_members = 0;
  std::uint32_t dead_members = 0;
  std::uint64_t configuration_generation = 0;
  std::string configuration_digest;
  bool ready = false;
  bool leaving = false;
  // Duties held: reading the head, and the data centres that this node bridges to.
  bool polls_head = false;
  std::vector<std::string> bridged_data_centres;
  // Bytes that the node's records take, estimated.
  std::uint64_t record_bytes = 0;

  bool operator==(const node_status&) const = default;
};

node_status describe_node(const node_state& state);

// All records that a node holds, in the order of gossip addresses.
std::vector<member> list_records(const node_state& state);

} // namespace acaciasill::control

#endif

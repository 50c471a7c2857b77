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

// Interface of the control plane as a deterministic state machine: events and the current time go
// in, actions come out. A node reads no clock, opens no socket and starts no thread, so a driver
// can run any number of nodes in one process. Events of one node must be passed in sequence, not
// concurrently.
namespace acaciasill::control {

// ---- Settings ----

// Intervals and timeouts of the control plane.
struct node_timings {
  // Interval between ticks of the node's timer. Each tick sends one gossip round.
  support::milliseconds tick{100};
  // Interval between probes of members of the local data centre.
  support::milliseconds probe_period{1000};
  // Timeout of a direct probe, after which indirect probes are sent.
  support::milliseconds probe_timeout{300};
  // Time allowed to refute a suspicion, per decimal digit of the local member count.
  support::milliseconds suspicion{2000};
  // Interval between anti-entropy exchanges with a random peer of the local data centre.
  support::milliseconds sync_period{5000};
  // Interval between anti-entropy exchanges with another data centre, by a holder of the bridge
  // duty.
  support::milliseconds bridge_period{1000};
  // Interval between probes of dead members.
  support::milliseconds dead_retry_period{2000};
  // Retention time of records of dead and left members.
  support::milliseconds retention{7200000};
  // Interval between reads of the configuration head by a holder of that duty.
  support::milliseconds head_period{1000};
  // Interval between reads of the seed rows by a holder of that duty.
  support::milliseconds seeds_period{10000};
  // Maximum backoff after platform failures.
  support::milliseconds platform_backoff{8000};
  // Timeout of a chunk request to a peer.
  support::milliseconds chunk_timeout{400};
  // Gap between two steps above which the process is assumed to have been suspended.
  support::milliseconds pause_threshold{1500};
  // Time without traffic from a data centre after which it is marked unreachable and its members
  // count as suspect.
  support::milliseconds unreachable_after{5000};
  // Minimum time from the shutdown request to process exit.
  support::milliseconds min_leave_time{1000};
  // Time that a started or resumed node waits for answers before it proceeds with the state it has.
  support::milliseconds refresh_timeout{3000};

  bool operator==(const node_timings&) const = default;
};

// Startup settings of a node.
struct node_settings {
  std::string name;
  std::string data_centre;
  std::string region;
  // Addresses as "ip:port": calls from other daemons (TCP) and gossip (UDP).
  std::string call_address;
  std::string gossip_address;
  // Gossip addresses used to join, in addition to the table's seed rows.
  std::vector<std::string> seeds;
  // Number of holders of each duty: reading the head, and bridging to one other data centre.
  std::uint32_t head_readers = 2;
  std::uint32_t bridges = 2;
  // Number of seed rows per data centre.
  std::uint32_t seed_rows = 3;
  // Number of members asked to send an indirect probe.
  std::uint32_t indirect_probes = 3;
  // Number of members that receive each gossip round.
  std::uint32_t gossip_fanout = 3;
  // Number of remote members kept for a service that no member of the local data centre calls.
  std::uint32_t remote_sample = 4;
  // Whether a node may serve from its embedded defaults if it obtains no configuration at startup.
  bool serve_without_configuration = false;
  node_timings timings;

  bool operator==(const node_settings&) const = default;
};

// ---- Events ----

// The process has started.
struct node_started {
  bool operator==(const node_started&) const = default;
};

// A datagram arrived. `from` is the source address reported by the socket, not one stated in the
// datagram.
struct peer_received {
  std::string from;
  datagram message;

  bool operator==(const peer_received&) const = default;
};

// The timer set by the most recent set_timer fired.
struct timer_fired {
  bool operator==(const timer_fired&) const = default;
};

// The local backend server announced itself; sent again after each restart of it.
struct backend_announced {
  std::string service;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  // Address as "ip:port"; not used by other daemons.
  std::string address;

  bool operator==(const backend_announced&) const = default;
};

// The local backend server reported its capacity and drain state.
struct backend_reported {
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  bool draining = false;

  bool operator==(const backend_reported&) const = default;
};

// The local backend server left or was lost. The daemon continues without one.
struct backend_left {
  bool operator==(const backend_left&) const = default;
};

// A call to another daemon ended. An answered call proves that the daemon is alive.
struct call_finished {
  std::string call_address;
  bool answered = false;

  bool operator==(const call_finished&) const = default;
};

// Graceful shutdown of the process was requested.
struct shutdown_requested {
  bool operator==(const shutdown_requested&) const = default;
};

// Number of the driver's calls in flight, reported on every change while the node drains.
struct in_flight_reported {
  std::uint64_t calls = 0;

  bool operator==(const in_flight_reported&) const = default;
};

// Services called by one service.
struct service_calls {
  std::string service;
  std::vector<std::string> calls;

  bool operator==(const service_calls&) const = default;
};

// Call graph of the configuration in force. Records of remote members are kept for services that
// are called by services of the local data centre.
struct services_configured {
  std::vector<service_calls> services;

  bool operator==(const services_configured&) const = default;
};

using event = std::variant<node_started, peer_received, platform_answer, timer_fired,
                           backend_announced, backend_reported, backend_left, call_finished,
                           shutdown_requested, in_flight_reported, services_configured>;

// ---- Actions ----

// Sends a datagram, which may be lost, duplicated or delayed.
struct send_datagram {
  std::string to;
  datagram message;

  bool operator==(const send_datagram&) const = default;
};

// Requests timer_fired at the given time. A node has a single timer; a later action replaces an
// earlier one.
struct set_timer {
  support::time_point at;

  bool operator==(const set_timer&) const = default;
};

// A member as seen by the request path.
struct view_member {
  std::string call_address;
  std::string name;
  std::string data_centre;
  std::string service;
  std::uint64_t incarnation = 0;
  // Distinguishes successive processes at the same address.
  std::uint64_t start_nonce = 0;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  bool suspect = false;
  // Whether the member accepts no new work.
  bool draining = false;
  // Time at which its backend server announced itself, by the local monotonic clock.
  support::time_point cold_since;

  bool operator==(const view_member&) const = default;
};

// Callable members, ordered by service, data centre and call address. Dead and left members are
// excluded.
struct cluster_view {
  // Incremented with each view published by a node.
  std::uint64_t version = 0;
  std::vector<view_member> members;
  // Number of daemons known, including those that accept no work; 0 if it is not known.
  std::uint32_t known_daemons = 0;
  // Whether the node can serve: it has a configuration or is permitted to run without one.
  bool ready = false;
  // Whether this node is leaving; its daemon then refuses new work.
  bool leaving = false;
  // False from a start or resumption of the process until the node has refreshed its state.
  bool confirmed = true;

  bool operator==(const cluster_view&) const = default;
};

// Publishes a new view.
struct publish_view {
  cluster_view view;

  bool operator==(const publish_view&) const = default;
};

// Puts a configuration in force; its digest has been verified. The generation increases each time,
// except for a repair: if the platform's head names a different object for the generation in force,
// that object replaces the one obtained from a peer.
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

// The process may exit: no call is in flight and the leave has been gossiped.
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

// Creates a node that has not started.
node_state_ptr make_node(const node_settings& settings);

// Copies a node, for drivers that explore several continuations.
node_state_ptr copy_node(const node_state& state);

// Processes one event at the given monotonic time and appends the resulting actions in order. A
// time before that of the previous step is treated as equal to it. Throws nothing but
// std::bad_alloc.
void step(node_state& state, const event& input, support::time_point now,
          support::random_source& random, std::vector<action>& actions);

// ---- Observation, for status pages and tests ----

// Status of a node.
struct node_status {
  member self;
  // Numbers of records: running members of the local and of other data centres, then suspected and
  // dead members of all.
  std::uint32_t local_members = 0;
  std::uint32_t remote_members = 0;
  std::uint32_t suspect_members = 0;
  std::uint32_t dead_members = 0;
  std::uint64_t configuration_generation = 0;
  std::string configuration_digest;
  bool ready = false;
  bool leaving = false;
  // Duties held: reading the head, and the data centres to which this node bridges.
  bool polls_head = false;
  std::vector<std::string> bridged_data_centres;
  // Estimated memory used by the node's records, in bytes.
  std::uint64_t record_bytes = 0;

  bool operator==(const node_status&) const = default;
};

node_status describe_node(const node_state& state);

// Returns all records of a node, ordered by gossip address.
std::vector<member> list_records(const node_state& state);

} // namespace acaciasill::control

#endif

#include "acaciasill/control/node.h"

#include <algorithm>
#include <variant>

#include "anti_entropy.h"
#include "bootstrap.h"
#include "bridging.h"
#include "configuration_distribution.h"
#include "duties.h"
#include "leaving.h"
#include "membership.h"
#include "node_state.h"
#include "probing.h"
#include "records.h"
#include "sending.h"
#include "views.h"

namespace acaciasill::control {
namespace {

// Minimum interval between corrections sent to the same sender.
constexpr support::milliseconds correction_period{1000};
constexpr std::size_t max_throttled_senders = 1024;

// Interval between checks of suspicion timeouts and record retention.
constexpr support::milliseconds expiry_period{500};

// Interval between removals of records that are no longer kept.
constexpr support::milliseconds sweep_period{10000};

// Starts a refresh period: duties wait until a peer or the table has answered or the period has
// ended.
void start_refresh(step_context& context) {
  node_state& state = context.state;
  state.refresh_until = state.now + state.settings.timings.refresh_timeout;
  state.confirmed = false;
  state.view_changed = true;
  query_configuration(context);
}

void start(step_context& context) {
  node_state& state = context.state;
  state.started = true;
  member self;
  self.gossip_address = state.settings.gossip_address;
  self.call_address = state.settings.call_address;
  self.name = state.settings.name;
  self.data_centre = state.settings.data_centre;
  self.start_nonce = context.random();
  publish_self(state, std::move(self), false);
  state.next_tick = state.now;
  state.next_sync = state.now + jittered(context.random, state.settings.timings.sync_period);
  start_refresh(context);
}

// Handles resumption after the process was suspended, when its state may be stale. The node
// increments its incarnation since peers may consider it dead, does not attribute its own silence
// to them, and refreshes its state before acting on its duties.
void resume(step_context& context) {
  node_state& state = context.state;
  log(context, support::log_level::warning, "membership",
      "process was suspended; refreshing state before acting on duties");
  member self = self_of(state);
  if (self.state != member_state::left) {
    publish_self(state, self, self.draining);
  }
  reset_probes(context);
  reset_bootstrap_requests(context);
  state.bootstrap.joined = false;
  state.bootstrap.next_page_request = state.now;
  for (auto& [data_centre, remote] : state.duties.bridges) {
    remote.held_since = state.now;
  }
  start_refresh(context);
}

// Marks the state as confirmed once the node has rejoined and a configuration answer has arrived.
void confirm_if_answered(node_state& state) {
  if (!state.confirmed && state.bootstrap.joined &&
      (state.configuration.head_answered || !state.configuration.answered.empty())) {
    state.confirmed = true;
    state.view_changed = true;
  }
}

void end_refresh(node_state& state) {
  if (!state.confirmed && state.now >= state.refresh_until) {
    state.confirmed = true;
    state.view_changed = true;
  }
}

// Sends a correction to a sender with an outdated view of itself, or requests the record of an
// unknown one.
void correct_sender(step_context& context, const std::string& from, const datagram& message) {
  node_state& state = context.state;
  const record* entry = find_record(state, from);
  const bool behind = sender_is_behind(state, from, message);
  const bool unknown = entry == nullptr && !std::holds_alternative<page>(message.body);
  if (!behind && !unknown) {
    return;
  }
  std::erase_if(state.throttled_senders,
                [&](const auto& known) { return known.second <= state.now; });
  if (state.throttled_senders.contains(from) ||
      state.throttled_senders.size() >= max_throttled_senders) {
    return;
  }
  state.throttled_senders[from] = state.now + correction_period;
  if (behind) {
    send_correction(context, from, gossip{}, from);
    return;
  }
  send_records(context, from, sync_digest{state.settings.data_centre, {}}, {});
}

struct body_handler {
  step_context& context;
  const std::string& from;

  void operator()(const gossip&) const {}
  void operator()(const probe& body) const { handle_probe(context, from, body); }
  void operator()(const probe_ack& body) const { handle_probe_ack(context, from, body); }
  void operator()(const indirect_probe& body) const { handle_indirect_probe(context, from, body); }
  void operator()(const sync_digest& body) const { handle_sync_digest(context, from, body); }
  void operator()(const bucket_digests& body) const { handle_bucket_digests(context, from, body); }
  void operator()(const sync_records& body) const { handle_sync_records(context, from, body); }
  void operator()(const page_request& body) const { handle_page_request(context, from, body); }
  void operator()(const page& body) const { handle_page(context, from, body); }
  void operator()(const configuration_query&) const { handle_configuration_query(context, from); }
  void operator()(const configuration_offer& body) const {
    handle_configuration_offer(context, from, body);
  }
  void operator()(const chunk_request& body) const { handle_chunk_request(context, from, body); }
  void operator()(const chunk& body) const { handle_chunk(context, from, body); }
};

void run_tick(step_context& context) {
  node_state& state = context.state;
  state.next_tick = state.now + state.settings.timings.tick;
  end_refresh(state);
  run_reports(context);
  if (state.now >= state.next_expiry) {
    state.next_expiry = state.now + expiry_period;
    expire_records(context);
  }
  update_duties(context);
  run_probes(context);
  if (state.now >= state.next_sync) {
    run_sync(context);
  }
  if (state.now >= state.next_sweep) {
    state.next_sweep = state.now + sweep_period;
    erase_unkept_records(state);
  }
  run_bootstrap(context);
  run_bridges(context);
  run_configuration(context);
  run_leave(context);
}

// Sends queued updates to a few random peers.
void run_gossip(step_context& context) {
  node_state& state = context.state;
  if (state.outgoing.records.empty() && state.outgoing.marks.empty()) {
    return;
  }
  auto peers = running_members(state, state.settings.data_centre);
  for (const auto& peer :
       choose_random(context.random, std::move(peers), state.settings.gossip_fanout)) {
    if (state.outgoing.records.empty() && state.outgoing.marks.empty()) {
      return;
    }
    send_body(context, peer, gossip{});
  }
}

struct event_handler {
  step_context& context;

  void operator()(const node_started&) const {}
  void operator()(const peer_received& input) const {
    const datagram& message = input.message;
    if (message.updates.size() > max_updates || message.marks.size() > max_scopes ||
        is_self(context.state, input.from)) {
      return;
    }
    for (const auto& fields : message.updates) {
      apply_record(context, fields);
    }
    for (const auto& mark : message.marks) {
      apply_mark(context, mark);
    }
    record_bridge_traffic(context, input.from);
    correct_sender(context, input.from, message);
    handle_peer_generation(context, input.from, message.configuration_generation);
    std::visit(body_handler{context, input.from}, message.body);
    confirm_if_answered(context.state);
  }
  void operator()(const platform_answer& answer) const {
    if (!handle_configuration_answer(context, answer)) {
      handle_bootstrap_answer(context, answer);
    }
    confirm_if_answered(context.state);
  }
  void operator()(const timer_fired&) const {
    if (context.state.now >= context.state.next_tick) {
      run_tick(context);
      run_gossip(context);
    }
  }
  void operator()(const backend_announced& input) const {
    handle_backend_announced(context, input);
  }
  void operator()(const backend_reported& input) const { handle_backend_reported(context, input); }
  void operator()(const backend_left&) const { handle_backend_left(context); }
  void operator()(const call_finished& input) const { handle_call_finished(context.state, input); }
  void operator()(const shutdown_requested&) const { begin_leave(context); }
  void operator()(const in_flight_reported& input) const {
    context.state.leave.in_flight = input.calls;
  }
  void operator()(const services_configured& input) const {
    node_state& state = context.state;
    state.call_graph.clear();
    for (const auto& entry : input.services) {
      state.call_graph[entry.service].insert(entry.calls.begin(), entry.calls.end());
    }
    update_called_services(state);
  }
};

} // namespace

void node_state_deleter::operator()(node_state* state) const {
  delete state;
}

node_state_ptr make_node(const node_settings& settings) {
  node_state_ptr state(new node_state);
  state->settings = settings;
  return state;
}

node_state_ptr copy_node(const node_state& state) {
  return node_state_ptr(new node_state(state));
}

void step(node_state& state, const event& input, support::time_point now,
          support::random_source& random, std::vector<action>& actions) {
  step_context context{state, random, actions};
  const bool begins = std::holds_alternative<node_started>(input);
  if (state.started == begins || state.leave.exit_announced) {
    return;
  }
  const support::duration gap = now - state.now;
  state.now = state.started ? std::max(now, state.now) : now;
  if (begins) {
    start(context);
  }
  if (!begins && gap > state.settings.timings.pause_threshold) {
    resume(context);
  }
  std::visit(event_handler{context}, input);
  if (!std::holds_alternative<peer_received>(input)) {
    publish_changes(context, !std::holds_alternative<timer_fired>(input));
  }
  if (!state.leave.exit_announced && (begins || std::holds_alternative<timer_fired>(input))) {
    actions.emplace_back(set_timer{state.next_tick});
  }
}

node_status describe_node(const node_state& state) {
  node_status status;
  if (!state.started) {
    return status;
  }
  status.self = self_of(state);
  for (const auto& [address, entry] : state.records.by_address) {
    const member& fields = entry.fields;
    const bool local = fields.data_centre == state.settings.data_centre;
    if (is_running(fields)) {
      ++(local ? status.local_members : status.remote_members);
    }
    status.suspect_members += fields.state == member_state::suspect ? 1 : 0;
    status.dead_members += fields.state == member_state::dead ? 1 : 0;
    status.record_bytes += sizeof(record) + encoded_bound(fields) + 4 * address.size() + 160;
  }
  status.configuration_generation = state.configuration.generation;
  status.configuration_digest = state.configuration.in_force.digest;
  status.ready = state.ready;
  status.leaving = state.leave.began_at.has_value();
  status.polls_head = state.duties.polls_head;
  for (const auto& [data_centre, remote] : state.duties.bridges) {
    status.bridged_data_centres.push_back(data_centre);
  }
  return status;
}

std::vector<member> list_records(const node_state& state) {
  std::vector<member> records;
  for (const auto& [address, entry] : state.records.by_address) {
    records.push_back(stamp_record(state, entry));
  }
  return records;
}

} // namespace acaciasill::control

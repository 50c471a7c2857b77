#include "leaving.h"

#include <utility>

#include "bridging.h"
#include "membership.h"
#include "records.h"
#include "sending.h"

namespace acaciasill::control {
namespace {

constexpr const char* part = "leaving";

// Minimum interval between changes of this node's record caused by backend reports.
constexpr support::milliseconds report_period{1000};

// Time for which the leave is gossiped before the process exits.
constexpr support::milliseconds final_gossip_time{300};

bool is_draining(const node_state& state) {
  return state.backend_draining || state.leave.began_at.has_value();
}

// Sends gossip immediately instead of at the next tick.
void gossip_at_once(step_context& context) {
  node_state& state = context.state;
  auto peers = running_members(state, state.settings.data_centre);
  const std::size_t count = state.settings.gossip_fanout;
  for (const auto& peer : choose_random(context.random, std::move(peers), count)) {
    send_body(context, peer, gossip{});
  }
}

// Notifies the data centres to which this node bridges, before its duties move to other members.
void notify_other_data_centres(step_context& context) {
  for (const auto& [data_centre, remote] : context.state.duties.bridges) {
    for (const auto& target : bridge_targets(context, data_centre)) {
      send_correction(context, target, gossip{}, context.state.settings.gossip_address);
    }
  }
}

void update_draining(step_context& context) {
  node_state& state = context.state;
  member changed = self_of(state);
  if (changed.draining == is_draining(state)) {
    return;
  }
  changed.draining = is_draining(state);
  publish_self(state, std::move(changed), true);
  gossip_at_once(context);
  notify_other_data_centres(context);
}

// Publishes the state `left` in this node's record. Other data centres are notified directly, since
// the holders of the bridge duty may be leaving too.
void announce_left(step_context& context) {
  node_state& state = context.state;
  member changed = self_of(state);
  changed.state = member_state::left;
  publish_self(state, std::move(changed), true);
  state.leave.left_at = state.now;
  for (const auto& [data_centre, members] : state.records.by_data_centre) {
    if (data_centre == state.settings.data_centre) {
      continue;
    }
    for (const auto& target : bridge_targets(context, data_centre)) {
      send_correction(context, target, gossip{}, state.settings.gossip_address);
    }
  }
}

} // namespace

void handle_backend_announced(step_context& context, const backend_announced& announced) {
  node_state& state = context.state;
  state.backend_draining = false;
  state.unpublished_report.reset();
  member changed = self_of(state);
  changed.service = announced.service;
  changed.slots = announced.slots;
  changed.connections = announced.connections;
  changed.draining = is_draining(state);
  changed.age_ms = 0;
  publish_self(state, changed, changed.draining);
  // An announcement means that the server has restarted, so it is cold even under the same name.
  state.records.by_address.at(changed.gossip_address).announced_at = state.now;
}

void handle_backend_reported(step_context& context, const backend_reported& reported) {
  node_state& state = context.state;
  if (self_of(state).service.empty()) {
    return;
  }
  state.unpublished_report = reported;
  state.backend_draining = reported.draining;
  update_draining(context);
}

void handle_backend_left(step_context& context) {
  node_state& state = context.state;
  state.backend_draining = false;
  state.unpublished_report.reset();
  member changed = self_of(state);
  if (changed.service.empty()) {
    return;
  }
  changed.service.clear();
  changed.slots = 0;
  changed.connections = 0;
  changed.draining = is_draining(state);
  publish_self(state, std::move(changed), true);
  gossip_at_once(context);
}

void run_reports(step_context& context) {
  node_state& state = context.state;
  if (!state.unpublished_report || state.now < state.next_self_change) {
    return;
  }
  const backend_reported report = *std::exchange(state.unpublished_report, std::nullopt);
  member changed = self_of(state);
  if (changed.slots == report.slots && changed.connections == report.connections) {
    return;
  }
  changed.slots = report.slots;
  changed.connections = report.connections;
  state.next_self_change = state.now + report_period;
  publish_self(state, std::move(changed), false);
}

void begin_leave(step_context& context) {
  node_state& state = context.state;
  if (state.leave.began_at) {
    return;
  }
  state.leave.began_at = state.now;
  state.view_changed = true;
  log(context, support::log_level::info, part, "this node is leaving");
  update_draining(context);
}

void run_leave(step_context& context) {
  node_state& state = context.state;
  leave_state& leave = state.leave;
  if (!leave.began_at || leave.exit_announced) {
    return;
  }
  if (leave.left_at) {
    gossip_at_once(context);
    if (state.now - *leave.left_at >= final_gossip_time) {
      leave.exit_announced = true;
      context.actions.emplace_back(ready_to_exit{});
    }
    return;
  }
  const bool has_spread = state.now - *leave.began_at >= state.settings.timings.min_leave_time;
  if (has_spread && leave.in_flight == 0U) {
    announce_left(context);
    gossip_at_once(context);
  }
}

} // namespace acaciasill::control

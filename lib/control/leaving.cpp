#include "leaving.h"

#include <utility>

#include "bridging.h"
#include "membership.h"
#include "records.h"
#include "sending.h"

namespace acaciasill::control {
namespace {

constexpr const char* part = "leaving";

// The shortest time between two changes of the own record that a report asks for.
constexpr support::milliseconds report_period{1000};

// How long the last datagrams are repeated before the process ends.
constexpr support::milliseconds farewell{300};

bool drains(const node_state& state) {
  return state.backend_draining || state.leave.began.has_value();
}

// Tells others at once, without waiting for the next tick.
void tell_others(step_context& context) {
  node_state& state = context.state;
  auto peers = running_members(state, state.settings.data_centre);
  const std::size_t count = state.settings.gossip_fanout;
  for (const auto& peer : choose_some(context.random, std::move(peers), count)) {
    send_body(context, peer, gossip{});
  }
}

// Tells the other data centres that this node has to do with, before its duties move on.
void tell_other_data_centres(step_context& context) {
  for (const auto& [data_centre, contact] : context.state.duties.bridges) {
    for (const auto& target : counterparts(context, data_centre)) {
      send_correction(context, target, gossip{}, context.state.settings.gossip_address);
    }
  }
}

void update_draining(step_context& context) {
  node_state& state = context.state;
  member changed = self_of(state);
  if (changed.draining == drains(state)) {
    return;
  }
  changed.draining = drains(state);
  announce_self(state, std::move(changed), true);
  tell_others(context);
  tell_other_data_centres(context);
}

// The own record's last word. Other data centres hear of it directly, since the holders of that
// duty may be the ones that leave.
void say_left(step_context& context) {
  node_state& state = context.state;
  member changed = self_of(state);
  changed.state = member_state::left;
  announce_self(state, std::move(changed), true);
  state.leave.left_at = state.now;
  for (const auto& [data_centre, members] : state.records.by_data_centre) {
    if (data_centre == state.settings.data_centre) {
      continue;
    }
    for (const auto& target : counterparts(context, data_centre)) {
      send_correction(context, target, gossip{}, state.settings.gossip_address);
    }
  }
}

} // namespace

void take_announcement(step_context& context, const backend_announced& announced) {
  node_state& state = context.state;
  state.backend_draining = false;
  state.unpublished_report.reset();
  member changed = self_of(state);
  changed.service = announced.service;
  changed.slots = announced.slots;
  changed.connections = announced.connections;
  changed.draining = drains(state);
  changed.age_ms = 0;
  announce_self(state, changed, changed.draining);
  // A server that announces itself again has restarted: it is cold, even under the same name.
  state.records.by_address.at(changed.gossip_address).announced_at = state.now;
}

void take_report(step_context& context, const backend_reported& reported) {
  node_state& state = context.state;
  if (self_of(state).service.empty()) {
    return;
  }
  state.unpublished_report = reported;
  state.backend_draining = reported.draining;
  update_draining(context);
}

void take_backend_left(step_context& context) {
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
  changed.draining = drains(state);
  announce_self(state, std::move(changed), true);
  tell_others(context);
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
  announce_self(state, std::move(changed), false);
}

void begin_leave(step_context& context) {
  node_state& state = context.state;
  if (state.leave.began) {
    return;
  }
  state.leave.began = state.now;
  state.view_changed = true;
  log(context, support::log_level::info, part, "this node is leaving");
  update_draining(context);
}

void run_leave(step_context& context) {
  node_state& state = context.state;
  leave_state& leave = state.leave;
  if (!leave.began || leave.told_driver) {
    return;
  }
  if (leave.left_at) {
    tell_others(context);
    if (state.now - *leave.left_at >= farewell) {
      leave.told_driver = true;
      context.actions.emplace_back(ready_to_exit{});
    }
    return;
  }
  const bool spread = state.now - *leave.began >= state.settings.timings.leave_spread;
  if (spread && leave.in_flight == 0U) {
    say_left(context);
    tell_others(context);
  }
}

} // namespace acaciasill::control

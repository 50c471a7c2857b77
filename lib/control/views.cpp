#include "views.h"

#include <algorithm>
#include <tuple>

#include "configuration_distribution.h"
#include "records.h"
#include "sending.h"

namespace acaciasill::control {
namespace {

// Number of records per additional tick of delay between views.
constexpr std::size_t members_per_tick = 3000;

bool is_unreachable(const node_state& state, const std::string& data_centre) {
  const auto found = state.marks.find(data_centre);
  return found != state.marks.end() && !found->second.reachable;
}

view_member describe_member(const node_state& state, const record& entry) {
  const member& fields = entry.fields;
  view_member seen;
  seen.call_address = fields.call_address;
  seen.name = fields.name;
  seen.data_centre = fields.data_centre;
  seen.service = fields.service;
  seen.incarnation = fields.incarnation;
  seen.start_nonce = fields.start_nonce;
  seen.slots = fields.slots;
  seen.connections = fields.connections;
  seen.suspect = fields.state == member_state::suspect || is_unreachable(state, fields.data_centre);
  seen.draining = fields.draining;
  seen.cold_since = entry.announced_at;
  return seen;
}

cluster_view build_view(const node_state& state) {
  cluster_view view;
  view.version = state.published.version + 1;
  view.ready = state.ready;
  view.leaving = state.leave.began_at.has_value();
  view.confirmed = state.confirmed;
  std::vector<const record*> callable;
  for (const auto& [address, entry] : state.records.by_address) {
    if (is_running(entry.fields) && !entry.fields.service.empty()) {
      callable.push_back(&entry);
    }
  }
  const auto order = [](const record* entry) {
    return std::tie(entry->fields.service, entry->fields.data_centre, entry->fields.call_address);
  };
  std::sort(callable.begin(), callable.end(),
            [&](const auto* left, const auto* right) { return order(left) < order(right); });
  view.members.reserve(callable.size());
  for (const record* entry : callable) {
    view.members.push_back(describe_member(state, *entry));
  }
  return view;
}

} // namespace

void publish_changes(step_context& context, bool at_once) {
  node_state& state = context.state;
  if (!state.ready && is_configuration_settled(state)) {
    state.ready = true;
    state.view_changed = true;
    log(context, support::log_level::info, "configuration", "this node is ready to serve");
  }
  if (!state.view_changed || (!at_once && state.now < state.next_view)) {
    return;
  }
  state.view_changed = false;
  // A large view is more expensive to build, so it is published less often.
  const auto ticks = 1 + state.records.by_address.size() / members_per_tick;
  state.next_view = state.now + state.settings.timings.tick * ticks;
  cluster_view view = build_view(state);
  // A view that differs only in its version is not published.
  state.published.version = view.version;
  if (view == state.published) {
    --state.published.version;
    return;
  }
  state.published = view;
  context.actions.emplace_back(publish_view{std::move(view)});
}

} // namespace acaciasill::control

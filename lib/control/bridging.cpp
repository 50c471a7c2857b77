#include "bridging.h"

#include <algorithm>

#include "anti_entropy.h"
#include "duties.h"
#include "membership.h"
#include "records.h"
#include "sending.h"

namespace acaciasill::control {
namespace {

// Maximum number of datagrams that forward changes in one tick.
constexpr std::size_t max_forwarded_datagrams = 4;

// All addresses known in the data centre: members that have not left, and seed rows.
std::vector<std::string> all_addresses(const node_state& state, const std::string& data_centre) {
  std::set<std::string> addresses;
  if (const auto rows = state.bootstrap.seeds.find(data_centre);
      rows != state.bootstrap.seeds.end()) {
    addresses = rows->second;
  }
  const auto found = state.records.by_data_centre.find(data_centre);
  if (found != state.records.by_data_centre.end()) {
    for (const auto& address : found->second) {
      if (find_record(state, address)->fields.state != member_state::left) {
        addresses.insert(address);
      }
    }
  }
  return {addresses.begin(), addresses.end()};
}

// Records of the local data centre that changed since the last forwarding, draining members first.
std::vector<member> changes_since(const node_state& state, std::uint64_t forwarded) {
  std::vector<member> changed;
  const auto local = state.records.by_data_centre.find(state.settings.data_centre);
  for (const auto& address : local->second) {
    const record& entry = state.records.by_address.at(address);
    if (entry.changed_at > forwarded) {
      changed.push_back(stamp_record(state, entry));
    }
  }
  std::stable_partition(changed.begin(), changed.end(),
                        [](const member& fields) { return fields.draining; });
  return changed;
}

void forward_changes(step_context& context, const std::string& data_centre, bridge& remote) {
  node_state& state = context.state;
  const configuration_state& configuration = state.configuration;
  const auto targets = duty_holders(state, data_centre, bridge_duty(state.settings.data_centre),
                                    state.settings.bridges);
  if (remote.forwarded_changes != state.records.changes) {
    const auto changed = changes_since(state, remote.forwarded_changes);
    remote.forwarded_changes = state.records.changes;
    for (const auto& target : targets) {
      if (!changed.empty()) {
        send_all_records(context, target, gossip{}, changed, max_forwarded_datagrams);
      }
    }
  }
  if (remote.offered_generation < configuration.generation) {
    remote.offered_generation = configuration.generation;
    for (const auto& target : targets) {
      send_records(context, target,
                   configuration_offer{configuration.generation, configuration.in_force.digest},
                   {});
    }
  }
}

// Updates the reachability mark of a data centre after prolonged silence or renewed traffic.
void update_mark(step_context& context, const std::string& data_centre, const bridge& remote) {
  node_state& state = context.state;
  const support::time_point last_traffic =
      std::max(remote.last_heard.value_or(remote.held_since), remote.held_since);
  const bool reachable = state.now - last_traffic < state.settings.timings.unreachable_after;
  const auto known = state.marks.find(data_centre);
  const bool was_reachable = known == state.marks.end() || known->second.reachable;
  // A new duty holder that has received nothing yet keeps the mark set by others until its own
  // timeout.
  if (reachable == was_reachable || (reachable && !remote.last_heard)) {
    return;
  }
  const std::uint64_t epoch = known == state.marks.end() ? 0 : known->second.epoch;
  apply_mark(context, data_centre_mark{data_centre, epoch + 1, reachable});
}

} // namespace

std::vector<std::string> bridge_targets(step_context& context, const std::string& data_centre) {
  node_state& state = context.state;
  const auto found = state.duties.bridges.find(data_centre);
  const auto max_silence = state.settings.timings.unreachable_after / 2;
  const bool silent = found == state.duties.bridges.end() || !found->second.last_heard ||
                      state.now - *found->second.last_heard > max_silence;
  auto holders = duty_holders(state, data_centre, bridge_duty(state.settings.data_centre),
                              state.settings.bridges);
  if (!silent && !holders.empty()) {
    return choose_random(context.random, std::move(holders), 1);
  }
  return choose_random(context.random, all_addresses(state, data_centre), 2);
}

void run_bridges(step_context& context) {
  node_state& state = context.state;
  for (auto& [data_centre, remote] : state.duties.bridges) {
    forward_changes(context, data_centre, remote);
    if (state.now < remote.next) {
      continue;
    }
    remote.next = state.now + jittered(context.random, state.settings.timings.bridge_period);
    update_mark(context, data_centre, remote);
    for (const auto& target : bridge_targets(context, data_centre)) {
      open_bridge_sync(context, target, data_centre);
    }
  }
}

void record_bridge_traffic(step_context& context, const std::string& from) {
  node_state& state = context.state;
  const record* entry = find_record(state, from);
  if (entry == nullptr) {
    return;
  }
  const auto found = state.duties.bridges.find(entry->fields.data_centre);
  if (found == state.duties.bridges.end()) {
    return;
  }
  found->second.last_heard = state.now;
  update_mark(context, found->first, found->second);
}

} // namespace acaciasill::control

#include "membership.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "records.h"
#include "sending.h"

namespace acaciasill::control {
namespace {

constexpr const char* part = "membership";

// Refutes a record about this node that supersedes its own. Such a record stems from an earlier
// process at this address, or from peers that consider this node dead.
void refute(step_context& context, const member& received) {
  node_state& state = context.state;
  const member& self = self_of(state);
  if (!supersedes(received, self) || self.state == member_state::left) {
    return;
  }
  member changed = self;
  changed.incarnation = received.incarnation;
  publish_self(state, std::move(changed), self.draining);
  log(context, support::log_level::info, part,
      "refuted a record about this node, incarnation " + std::to_string(received.incarnation));
}

// Logs members that die, leave or return. Other changes are not logged.
void log_change(step_context& context, const member& received, const record* before) {
  const bool was_running = before != nullptr && is_running(before->fields);
  if (was_running && !is_running(received)) {
    const char* end = received.state == member_state::left ? " left" : " is dead";
    log(context, support::log_level::info, part, "member " + received.gossip_address + end);
  }
  if (!was_running && before != nullptr && is_running(received)) {
    log(context, support::log_level::info, part,
        "member " + received.gossip_address + " is alive again");
  }
}

// Whether the record is gossiped before others. A leave must spread quickly.
bool is_urgent(const member& received) {
  return received.draining || received.state == member_state::left;
}

bool expired(const node_state& state, const record& entry, support::duration limit) {
  return state.now - entry.state_since >= limit;
}

// Suspicion timeout. It grows with the cluster size, since gossip then needs more rounds.
support::duration suspicion_time(const node_state& state) {
  return state.settings.timings.suspicion * std::max<std::uint32_t>(1, size_digits(state) - 1);
}

} // namespace

void apply_record(step_context& context, const member& received) {
  node_state& state = context.state;
  if (!is_valid_record(received)) {
    return;
  }
  if (is_self(state, received.gossip_address)) {
    refute(context, received);
    return;
  }
  const record* before = find_record(state, received.gossip_address);
  if (before == nullptr &&
      (!is_running(received) || state.records.by_address.size() >= max_records)) {
    return;
  }
  if (before != nullptr && !supersedes(received, before->fields)) {
    return;
  }
  if (before == nullptr && !keeps_record(state, received)) {
    return;
  }
  log_change(context, received, before);
  store_record(state, received);
  if (is_shared(state, received)) {
    queue_record(state, received.gossip_address, is_urgent(received));
  }
  if (received.data_centre == state.settings.data_centre) {
    update_called_services(state);
  }
}

void apply_mark(step_context& context, const data_centre_mark& received) {
  node_state& state = context.state;
  const auto known = state.marks.find(received.data_centre);
  const bool is_valid =
      received.data_centre.size() <= max_name_bytes && received.epoch < max_incarnation;
  if (!is_valid || received.data_centre == state.settings.data_centre ||
      (known == state.marks.end() && state.marks.size() >= max_scopes * 4)) {
    return;
  }
  const std::uint64_t epoch = known == state.marks.end() ? 0 : known->second.epoch;
  const bool reachable = known == state.marks.end() || known->second.reachable;
  if (std::pair(received.epoch, !received.reachable) <= std::pair(epoch, !reachable)) {
    return;
  }
  state.marks[received.data_centre] = received;
  state.view_changed = true;
  queue_mark(state, received.data_centre);
  if (received.reachable != reachable) {
    log(context, support::log_level::warning, part,
        "data centre " + received.data_centre +
            (received.reachable ? " is reachable again" : " is unreachable"));
  }
}

void publish_self(node_state& state, member changed, bool urgent) {
  ++changed.incarnation;
  store_record(state, changed);
  queue_record(state, changed.gossip_address, urgent);
  update_called_services(state);
}

void suspect_member(step_context& context, const std::string& address) {
  node_state& state = context.state;
  const record* entry = find_record(state, address);
  if (entry == nullptr || entry->fields.state != member_state::alive) {
    return;
  }
  member changed = stamp_record(state, *entry);
  changed.state = member_state::suspect;
  store_record(state, changed);
  queue_record(state, address, false);
  log(context, support::log_level::info, part, "member " + address + " is suspected");
}

void expire_records(step_context& context) {
  node_state& state = context.state;
  const support::duration suspicion = suspicion_time(state);
  const support::duration retention = state.settings.timings.retention;
  std::vector<std::string> dead;
  std::vector<std::string> forgotten;
  for (const auto& [address, entry] : state.records.by_address) {
    if (is_self(state, address)) {
      continue;
    }
    const bool local = entry.fields.data_centre == state.settings.data_centre;
    if (local && entry.fields.state == member_state::suspect && expired(state, entry, suspicion)) {
      dead.push_back(address);
    }
    if (!is_running(entry.fields) && expired(state, entry, retention)) {
      forgotten.push_back(address);
    }
  }
  for (const auto& address : dead) {
    member changed = stamp_record(state, *find_record(state, address));
    changed.state = member_state::dead;
    apply_record(context, changed);
  }
  for (const auto& address : forgotten) {
    erase_record(state, address);
  }
}

void erase_unkept_records(node_state& state) {
  std::vector<std::string> unwanted;
  for (const auto& [address, entry] : state.records.by_address) {
    if (is_running(entry.fields) && !keeps_record(state, entry.fields)) {
      unwanted.push_back(address);
    }
  }
  for (const auto& address : unwanted) {
    erase_record(state, address);
  }
}

bool sender_is_behind(const node_state& state, const std::string& from, const datagram& message) {
  const record* entry = find_record(state, from);
  if (entry == nullptr) {
    return false;
  }
  const member& known = entry->fields;
  if (known.incarnation != message.sender_incarnation) {
    return known.incarnation > message.sender_incarnation;
  }
  return known.start_nonce != message.sender_nonce || !is_running(known) ||
         known.state == member_state::suspect;
}

} // namespace acaciasill::control

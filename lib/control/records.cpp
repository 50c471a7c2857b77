#include "records.h"

#include <algorithm>
#include <tuple>

#include "acaciasill/support/hash.h"

namespace acaciasill::control {
namespace {

constexpr std::size_t max_address_bytes = 56;

bool is_address(const std::string& text) {
  return text.size() <= max_address_bytes && text.find(':') != std::string::npos;
}

std::uint64_t record_digest(const member& fields) {
  const std::string marks = std::to_string(fields.incarnation) + '/' +
                            std::to_string(fields.start_nonce) + '/' +
                            std::to_string(static_cast<int>(fields.state));
  return support::hash64(fields.gossip_address, support::hash64(marks));
}

void unindex(record_table& table, const member& fields) {
  const auto remove = [&](auto& index, const std::string& key) {
    if (const auto found = index.find(key); found != index.end()) {
      found->second.erase(fields.gossip_address);
      if (found->second.empty()) {
        index.erase(found);
      }
    }
  };
  remove(table.by_data_centre, fields.data_centre);
  remove(table.by_service, fields.service);
  const auto found = table.by_call_address.find(fields.call_address);
  if (found != table.by_call_address.end() && found->second == fields.gossip_address) {
    table.by_call_address.erase(found);
  }
}

// Invalidates the digests affected by a change of this record. A remote record may move others into
// or out of the sample of its service, in any data centre.
void invalidate_digests(node_state& state, const member& fields) {
  state.records.caches.erase(fields.data_centre);
  if (fields.data_centre == state.settings.data_centre) {
    return;
  }
  for (auto& [data_centre, caches] : state.records.caches) {
    caches.shared.reset();
  }
}

// Whether fewer than remote_sample other running remote members of the service precede it in hash
// order.
bool is_in_sample(const node_state& state, const member& fields) {
  const auto found = state.records.by_service.find(fields.service);
  if (found == state.records.by_service.end()) {
    return state.settings.remote_sample > 0;
  }
  const std::uint64_t seed = support::hash64(state.settings.data_centre);
  const std::uint64_t own = support::hash64(fields.gossip_address, seed);
  std::uint32_t before = 0;
  for (const auto& address : found->second) {
    const member& other = state.records.by_address.at(address).fields;
    if (other.data_centre == state.settings.data_centre || !is_running(other)) {
      continue;
    }
    if (address != fields.gossip_address && support::hash64(address, seed) < own) {
      ++before;
    }
  }
  return before < state.settings.remote_sample;
}

scope_cache compute_scope(const node_state& state, const std::string& data_centre, bool shared) {
  scope_cache scope;
  scope.buckets.assign(max_buckets, 0);
  const auto found = state.records.by_data_centre.find(data_centre);
  if (found == state.records.by_data_centre.end()) {
    return scope;
  }
  for (const auto& address : found->second) {
    const member& fields = state.records.by_address.at(address).fields;
    if (!is_running(fields) || (shared && !is_shared(state, fields))) {
      continue;
    }
    const std::uint64_t digest = record_digest(fields);
    ++scope.members;
    scope.digest ^= digest;
    scope.buckets[bucket_of(address)] ^= digest;
  }
  return scope;
}

} // namespace

bool supersedes(const member& left, const member& right) {
  return std::tie(left.incarnation, left.state, left.start_nonce) >
         std::tie(right.incarnation, right.state, right.start_nonce);
}

bool is_valid_record(const member& fields) {
  return is_address(fields.gossip_address) && is_address(fields.call_address) &&
         fields.name.size() <= max_name_bytes && !fields.data_centre.empty() &&
         fields.data_centre.size() <= max_name_bytes && fields.service.size() <= max_name_bytes &&
         fields.incarnation < max_incarnation && fields.state <= member_state::left;
}

bool is_running(const member& fields) {
  return fields.state == member_state::alive || fields.state == member_state::suspect;
}

const record* find_record(const node_state& state, const std::string& address) {
  const auto found = state.records.by_address.find(address);
  return found == state.records.by_address.end() ? nullptr : &found->second;
}

const member& self_of(const node_state& state) {
  return state.records.by_address.at(state.settings.gossip_address).fields;
}

bool is_self(const node_state& state, const std::string& address) {
  return address == state.settings.gossip_address;
}

bool is_local_peer(const node_state& state, const std::string& address) {
  const record* found = find_record(state, address);
  return found != nullptr && found->fields.data_centre == state.settings.data_centre;
}

void store_record(node_state& state, const member& fields) {
  record_table& table = state.records;
  record& entry = table.by_address[fields.gossip_address];
  const bool known = !entry.fields.gossip_address.empty();
  if (known) {
    unindex(table, entry.fields);
    invalidate_digests(state, entry.fields);
  }
  if (!known || entry.fields.state != fields.state ||
      entry.fields.incarnation != fields.incarnation) {
    entry.state_since = state.now;
  }
  if (!known || entry.fields.service != fields.service ||
      entry.fields.start_nonce != fields.start_nonce) {
    entry.announced_at = state.now - support::milliseconds(std::min(fields.age_ms, max_age_ms));
  }
  entry.fields = fields;
  entry.changed_at = ++table.changes;
  table.by_data_centre[fields.data_centre].insert(fields.gossip_address);
  table.by_service[fields.service].insert(fields.gossip_address);
  if (is_running(fields)) {
    table.by_call_address[fields.call_address] = fields.gossip_address;
  }
  invalidate_digests(state, fields);
  state.view_changed = true;
}

void erase_record(node_state& state, const std::string& address) {
  const auto found = state.records.by_address.find(address);
  if (found == state.records.by_address.end()) {
    return;
  }
  unindex(state.records, found->second.fields);
  invalidate_digests(state, found->second.fields);
  state.records.by_address.erase(found);
  state.outgoing.records.erase(address);
  state.view_changed = true;
}

bool is_shared(const node_state& state, const member& fields) {
  return fields.data_centre == state.settings.data_centre ||
         state.called_services.contains(fields.service) || is_in_sample(state, fields);
}

bool keeps_record(const node_state& state, const member& fields) {
  return state.duties.bridges.contains(fields.data_centre) || is_shared(state, fields);
}

member stamp_record(const node_state& state, const record& entry) {
  member fields = entry.fields;
  const auto age = support::whole_milliseconds(state.now - entry.announced_at);
  fields.age_ms = static_cast<std::uint32_t>(std::clamp<long long>(age, 0, max_age_ms));
  return fields;
}

const scope_cache& scope_of(node_state& state, const std::string& data_centre, bool shared) {
  scope_caches& caches = state.records.caches[data_centre];
  std::optional<scope_cache>& wanted = shared ? caches.shared : caches.whole;
  if (!wanted) {
    wanted = compute_scope(state, data_centre, shared);
  }
  return *wanted;
}

std::uint32_t bucket_of(const std::string& address) {
  return static_cast<std::uint32_t>(support::hash64(address) % max_buckets);
}

bool is_alone(const node_state& state) {
  const auto& local = state.records.by_data_centre.at(state.settings.data_centre);
  return std::none_of(local.begin(), local.end(), [&](const std::string& address) {
    return !is_self(state, address) && is_running(state.records.by_address.at(address).fields);
  });
}

std::vector<std::string> running_members(const node_state& state, const std::string& data_centre) {
  std::vector<std::string> addresses;
  const auto found = state.records.by_data_centre.find(data_centre);
  if (found == state.records.by_data_centre.end()) {
    return addresses;
  }
  for (const auto& address : found->second) {
    if (!is_self(state, address) && is_running(state.records.by_address.at(address).fields)) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

void update_called_services(node_state& state) {
  std::set<std::string> wanted;
  const auto& table = state.records;
  const auto local = table.by_data_centre.find(state.settings.data_centre);
  if (local != table.by_data_centre.end()) {
    for (const auto& address : local->second) {
      const auto calls = state.call_graph.find(table.by_address.at(address).fields.service);
      if (calls != state.call_graph.end()) {
        wanted.insert(calls->second.begin(), calls->second.end());
      }
    }
  }
  if (wanted != state.called_services) {
    state.called_services = std::move(wanted);
    state.records.caches.clear();
  }
}

} // namespace acaciasill::control

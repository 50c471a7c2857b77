#include "anti_entropy.h"

#include <algorithm>

#include "records.h"
#include "sending.h"

namespace acaciasill::control {
namespace {

// Maximum number of datagrams per reply; the remaining records wait for a later exchange.
constexpr std::size_t max_sync_datagrams = 16;

// Bytes reserved for the fixed part of a datagram that carries only digests.
constexpr std::size_t digest_room = 300;

scope_digest describe_scope(node_state& state, const std::string& data_centre, bool shared) {
  const scope_cache& scope = scope_of(state, data_centre, shared);
  return {data_centre, scope.members, scope.digest};
}

// Selects which records of a data centre are compared with this peer: only shared ones (true) with
// local peers, all (false) for the local data centre or a bridged one. Returns nullopt if nothing
// is to be compared.
std::optional<bool> compares_shared(const node_state& state, bool local_peer,
                                    const std::string& data_centre) {
  if (data_centre == state.settings.data_centre) {
    return false;
  }
  if (local_peer) {
    return true;
  }
  if (state.duties.bridges.contains(data_centre)) {
    return false;
  }
  return std::nullopt;
}

// Returns the records of the buckets in the mask, including dead and left members. The start is
// random, so that a large difference is resolved over several exchanges.
std::vector<member> records_of_buckets(step_context& context, const std::string& data_centre,
                                       std::uint32_t buckets, bool shared) {
  const node_state& state = context.state;
  std::vector<member> records;
  const auto found = state.records.by_data_centre.find(data_centre);
  if (found == state.records.by_data_centre.end()) {
    return records;
  }
  for (const auto& address : found->second) {
    const record& entry = state.records.by_address.at(address);
    const bool wanted = (buckets >> bucket_of(address) & 1U) != 0;
    if (wanted && (!shared || is_shared(state, entry.fields))) {
      records.push_back(stamp_record(state, entry));
    }
  }
  if (!records.empty()) {
    const auto start = support::uniform_below(context.random, records.size());
    std::rotate(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(start),
                records.end());
  }
  return records;
}

// Returns the digests of the local data centre and of as many others, in random order, as fit.
sync_digest describe_scopes(step_context& context) {
  node_state& state = context.state;
  sync_digest body{state.settings.data_centre, {}};
  body.scopes.push_back(describe_scope(state, state.settings.data_centre, false));
  std::vector<std::string> others;
  for (const auto& [data_centre, members] : state.records.by_data_centre) {
    if (data_centre != state.settings.data_centre) {
      others.push_back(data_centre);
    }
  }
  const std::size_t count = others.size();
  for (const auto& data_centre : choose_random(context.random, std::move(others), count)) {
    datagram whole;
    whole.body = body;
    if (body.scopes.size() >= max_scopes ||
        encoded_bound(whole) + digest_room > max_datagram_bytes) {
      break;
    }
    body.scopes.push_back(describe_scope(state, data_centre, true));
  }
  return body;
}

} // namespace

void run_sync(step_context& context) {
  node_state& state = context.state;
  state.next_sync = state.now + jittered(context.random, state.settings.timings.sync_period);
  auto peers = running_members(state, state.settings.data_centre);
  for (const auto& peer : choose_random(context.random, std::move(peers), 1)) {
    send_body(context, peer, describe_scopes(context));
  }
}

void open_bridge_sync(step_context& context, const std::string& to,
                      const std::string& data_centre) {
  node_state& state = context.state;
  sync_digest body{state.settings.data_centre, {}};
  body.scopes.push_back(describe_scope(state, state.settings.data_centre, false));
  body.scopes.push_back(describe_scope(state, data_centre, false));
  send_records(context, to, std::move(body), {});
}

void handle_sync_digest(step_context& context, const std::string& from, const sync_digest& body) {
  node_state& state = context.state;
  const bool local = body.data_centre == state.settings.data_centre;
  bool answered = false;
  for (const auto& scope : body.scopes) {
    if (scope.data_centre.empty() || scope.data_centre.size() > max_name_bytes) {
      continue;
    }
    const auto shared = compares_shared(state, local, scope.data_centre);
    if (!shared || describe_scope(state, scope.data_centre, *shared) == scope) {
      continue;
    }
    const auto& buckets = scope_of(state, scope.data_centre, *shared).buckets;
    send_records(context, from, bucket_digests{scope.data_centre, buckets}, {});
    answered = true;
  }
  if (!answered && (!local || body.scopes.empty())) {
    // Any answer shows a remote peer that this data centre is reachable, and a node that does not
    // know this one receives its record.
    send_correction(context, from, gossip{}, state.settings.gossip_address);
  }
}

void handle_bucket_digests(step_context& context, const std::string& from,
                           const bucket_digests& body) {
  node_state& state = context.state;
  const auto shared = compares_shared(state, is_local_peer(state, from), body.data_centre);
  if (!shared || body.digests.size() != max_buckets) {
    return;
  }
  const auto& own = scope_of(state, body.data_centre, *shared).buckets;
  std::uint32_t mask = 0;
  for (std::uint32_t bucket = 0; bucket < max_buckets; ++bucket) {
    if (own[bucket] != body.digests[bucket]) {
      mask |= 1U << bucket;
    }
  }
  if (mask == 0) {
    return;
  }
  const auto records = records_of_buckets(context, body.data_centre, mask, *shared);
  send_all_records(context, from, sync_records{body.data_centre, 0, false}, records,
                   max_sync_datagrams);
  // The request for the peer's records goes last, so that the peer has already applied these
  // records.
  send_records(context, from, sync_records{body.data_centre, mask, true}, {});
}

void handle_sync_records(step_context& context, const std::string& from, const sync_records& body) {
  node_state& state = context.state;
  const auto shared = compares_shared(state, is_local_peer(state, from), body.data_centre);
  if (!body.wants_reply || !shared) {
    return;
  }
  const auto records = records_of_buckets(context, body.data_centre, body.buckets, *shared);
  send_all_records(context, from, sync_records{body.data_centre, body.buckets, false}, records,
                   max_sync_datagrams);
}

void handle_page_request(step_context& context, const std::string& from, const page_request& body) {
  const node_state& state = context.state;
  page reply;
  std::vector<member> updates;
  // Reserves space for a cursor of maximum length.
  datagram measured;
  measured.body = page{std::string(max_name_bytes, ' ')};
  const auto& table = state.records.by_address;
  for (auto next = table.upper_bound(body.after); next != table.end(); ++next) {
    const record& entry = next->second;
    if (!is_running(entry.fields) || !is_shared(state, entry.fields)) {
      continue;
    }
    if (!fits(measured, entry.fields)) {
      reply.next = updates.back().gossip_address;
      break;
    }
    updates.push_back(stamp_record(state, entry));
    measured.updates.push_back(updates.back());
  }
  send_records(context, from, reply, std::move(updates));
}

} // namespace acaciasill::control

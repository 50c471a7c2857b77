#include "probing.h"

#include <algorithm>

#include "membership.h"
#include "records.h"
#include "sending.h"

namespace acaciasill::control {
namespace {

constexpr std::size_t max_relays = 64;

// Returns the next member of the round; a new round has a random order. Empty if no member is left.
std::string next_target(step_context& context) {
  node_state& state = context.state;
  for (int rounds = 0; rounds < 2; ++rounds) {
    while (!state.probes.round.empty()) {
      std::string address = state.probes.round.back();
      state.probes.round.pop_back();
      const record* entry = find_record(state, address);
      if (entry != nullptr && is_running(entry->fields)) {
        return address;
      }
    }
    auto members = running_members(state, state.settings.data_centre);
    const std::size_t count = members.size();
    state.probes.round = choose_random(context.random, std::move(members), count);
  }
  return {};
}

// Sends a probe. A suspected or dead target also receives its own record, so that it can refute it.
void send_probe(step_context& context, const std::string& to, std::uint64_t sequence) {
  const record* entry = find_record(context.state, to);
  if (entry != nullptr && entry->fields.state != member_state::alive) {
    send_correction(context, to, probe{sequence}, to);
    return;
  }
  send_body(context, to, probe{sequence});
}

void send_indirect_probes(step_context& context) {
  node_state& state = context.state;
  auto members = running_members(state, state.settings.data_centre);
  std::erase(members, state.probes.target);
  const auto helpers =
      choose_random(context.random, std::move(members), state.settings.indirect_probes);
  for (const auto& helper : helpers) {
    send_body(context, helper, indirect_probe{state.probes.sequence, state.probes.target});
  }
  state.probes.indirect_probes_sent = true;
}

void start_probe(step_context& context) {
  node_state& state = context.state;
  probe_state& probes = state.probes;
  probes.next = state.now + jittered(context.random, state.settings.timings.probe_period);
  probes.target = next_target(context);
  probes.acknowledged = probes.target.empty();
  probes.indirect_probes_sent = false;
  if (probes.target.empty()) {
    return;
  }
  probes.sequence = probes.next_sequence++;
  probes.started = state.now;
  send_probe(context, probes.target, probes.sequence);
}

// Probes one dead member to detect the end of a partition.
void probe_dead(step_context& context) {
  node_state& state = context.state;
  const auto period = state.settings.timings.dead_retry_period;
  state.probes.next_dead = state.now + jittered(context.random, period);
  std::vector<std::string> dead;
  const auto local = state.records.by_data_centre.find(state.settings.data_centre);
  for (const auto& address : local->second) {
    if (find_record(state, address)->fields.state == member_state::dead) {
      dead.push_back(address);
    }
  }
  for (const auto& address : choose_random(context.random, std::move(dead), 1)) {
    send_probe(context, address, state.probes.next_sequence++);
  }
}

} // namespace

void run_probes(step_context& context) {
  node_state& state = context.state;
  probe_state& probes = state.probes;
  std::erase_if(probes.relays,
                [&](const auto& entry) { return entry.second.expires <= state.now; });
  const bool late = state.now - probes.started >= state.settings.timings.probe_timeout;
  if (!probes.acknowledged && !probes.indirect_probes_sent && late) {
    send_indirect_probes(context);
  }
  if (state.now >= probes.next) {
    if (!probes.acknowledged) {
      suspect_member(context, probes.target);
    }
    start_probe(context);
  }
  if (state.now >= probes.next_dead) {
    probe_dead(context);
  }
}

void handle_probe(step_context& context, const std::string& from, const probe& body) {
  send_body(context, from, probe_ack{body.sequence});
}

void handle_probe_ack(step_context& context, const std::string& from, const probe_ack& body) {
  node_state& state = context.state;
  if (body.sequence == state.probes.sequence && !state.probes.acknowledged) {
    state.probes.acknowledged = true;
    return;
  }
  const auto found = state.probes.relays.find(body.sequence);
  if (found == state.probes.relays.end()) {
    return;
  }
  const relay waiting = found->second;
  state.probes.relays.erase(found);
  // Includes the target's record, since it may just have sent a refutation.
  send_correction(context, waiting.requester, probe_ack{waiting.requester_sequence}, from);
}

void handle_indirect_probe(step_context& context, const std::string& from,
                           const indirect_probe& body) {
  node_state& state = context.state;
  if (state.probes.relays.size() >= max_relays || !is_local_peer(state, body.target)) {
    return;
  }
  const std::uint64_t sequence = state.probes.next_sequence++;
  const auto expires = state.now + state.settings.timings.probe_period;
  state.probes.relays[sequence] = relay{from, body.sequence, expires};
  send_probe(context, body.target, sequence);
}

void handle_call_finished(node_state& state, const call_finished& call) {
  if (!call.answered) {
    return;
  }
  const auto found = state.records.by_call_address.find(call.call_address);
  if (found != state.records.by_call_address.end() && found->second == state.probes.target) {
    state.probes.acknowledged = true;
  }
}

void reset_probes(step_context& context) {
  node_state& state = context.state;
  state.probes.acknowledged = true;
  state.probes.indirect_probes_sent = false;
  state.probes.relays.clear();
  state.probes.next = state.now + state.settings.timings.probe_period;
  for (auto& [address, entry] : state.records.by_address) {
    if (entry.fields.state == member_state::suspect) {
      entry.state_since = state.now;
    }
  }
}

} // namespace acaciasill::control

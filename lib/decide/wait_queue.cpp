#include "acaciasill/decide/wait_queue.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include "wait_queue_state.h"

namespace acaciasill::decide {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;

// Keys of the `guaranteed` tree, in ascending order: below the guarantee, due at a time, not below
// the guarantee.
constexpr std::uint64_t due_later_offset = std::uint64_t{1} << 62U;
constexpr std::uint64_t above_guarantee_key = std::uint64_t{1} << 63U;
// Number of times a choice is repeated if other threads change the counters meanwhile.
constexpr int max_choice_attempts = 4;

std::uint64_t guaranteed_key(const wait_queue_state& queue, const gate& state,
                             const gate_view& view, std::uint32_t organisation,
                             support::time_point now) {
  const double share = view.organisations[organisation].guaranteed;
  const double slots = share * static_cast<double>(usable_slots(state));
  const auto used = static_cast<double>(state.organisations[organisation].in_flight.load(relaxed));
  if (used >= slots) {
    return above_guarantee_key;
  }
  if (slots >= 1.0) {
    return static_cast<std::uint64_t>(used / slots * 1e9);
  }
  const auto due = queue.organisations[organisation].next_guaranteed;
  if (due <= now) {
    return 0;
  }
  return due_later_offset + static_cast<std::uint64_t>(due.time_since_epoch().count());
}

std::uint64_t lent_key(const gate& state, const gate_view& view, std::uint32_t organisation,
                       level best) {
  const auto& share = view.organisations[organisation];
  const double slots = share.guaranteed * static_cast<double>(usable_slots(state));
  const auto used = static_cast<double>(state.organisations[organisation].in_flight.load(relaxed));
  const double lent = std::max(0.0, used - slots) / share.weight;
  const auto scaled = static_cast<std::uint64_t>(std::min(lent * 1024.0, 0x1.0p28));
  return (std::uint64_t{rank_of(best)} << 61U) | (scaled << 32U) | best;
}

// Number of queue entries guaranteed to the organisation.
double guaranteed_entries(const gate_view& view, std::uint32_t organisation) {
  return std::max(1.0, view.organisations[organisation].guaranteed * view.queue_capacity);
}

// Returns the eviction key; smaller keys are evicted first.
std::uint64_t eviction_key(const gate_view& view, std::uint32_t organisation, std::size_t waiting,
                           level worst) {
  const bool over = static_cast<double>(waiting) > guaranteed_entries(view, organisation);
  return (over ? 0 : std::uint64_t{1} << 32U) | static_cast<level>(~worst);
}

const queue_entry& worst_of(const order_set& calls) {
  // In the least important step the oldest call is evicted, since its caller has waited longest.
  const auto step = std::prev(calls.end())->request.level >> step_shift;
  queue_entry probe;
  probe.request.level = step << step_shift;
  return *calls.lower_bound(probe);
}

const queue_entry& best_of(const order_set& calls, bool overloaded) {
  if (!overloaded) {
    return *calls.begin();
  }
  queue_entry probe;
  probe.request.level = calls.begin()->request.level;
  probe.sequence = ~std::uint64_t{0};
  return *std::prev(calls.upper_bound(probe));
}

void update_keys(wait_queue_state& queue, const gate& state, const gate_view& view,
                 std::uint32_t organisation, support::time_point now) {
  const auto& calls = queue.organisations[organisation].calls;
  if (calls.empty()) {
    queue.guaranteed.set(organisation, tournament_tree::absent);
    queue.lent.set(organisation, tournament_tree::absent);
    queue.eviction_order.set(organisation, tournament_tree::absent);
    return;
  }
  queue.guaranteed.set(organisation, guaranteed_key(queue, state, view, organisation, now));
  queue.lent.set(organisation, lent_key(state, view, organisation, calls.begin()->request.level));
  const auto worst = std::prev(calls.end())->request.level;
  queue.eviction_order.set(organisation, eviction_key(view, organisation, calls.size(), worst));
}

// Recomputes all keys after a change of the limit, on which they depend. Such changes are rare
// compared with calls.
void update_keys_for_limit(wait_queue_state& queue, const gate& state, const gate_view& view,
                           support::time_point now) {
  const auto limit = state.limit.load(relaxed);
  if (limit == queue.keyed_limit) {
    return;
  }
  queue.keyed_limit = limit;
  for (std::uint32_t organisation = 0; organisation < queue.organisations.size(); ++organisation) {
    if (!queue.organisations[organisation].calls.empty()) {
      update_keys(queue, state, view, organisation, now);
    }
  }
}

queued_call dequeue(wait_queue_state& queue, gate& state, const gate_view& view,
                    const queue_entry& chosen, support::time_point now) {
  auto& entry = const_cast<queue_entry&>(chosen);
  const queued_call call{entry.request, entry.handle, now - entry.enqueued};
  auto& calls = queue.organisations[entry.request.organisation].calls;
  calls.erase(calls.iterator_to(entry));
  queue.expiry.erase(queue.expiry.iterator_to(entry));
  entry.used = false;
  ++entry.generation;
  queue.free_entries.push_back(static_cast<std::uint32_t>(&entry - queue.entries.data()));
  state.waiting.fetch_sub(1, relaxed);
  const auto waited = std::chrono::duration_cast<support::microseconds>(call.waited).count();
  state.queue_delay_us.fetch_add(static_cast<std::uint64_t>(std::max<std::int64_t>(0, waited)),
                                 relaxed);
  update_keys(queue, state, view, call.request.organisation, now);
  return call;
}

void drop(wait_queue_state& queue, gate& state, const gate_view& view, const queue_entry& entry,
          support::result_code code, support::time_point now, std::vector<dropped_call>& dropped) {
  state.dropped.fetch_add(1, relaxed);
  dropped.push_back({dequeue(queue, state, view, entry, now), code});
}

void refuse_at_enqueue(gate& state, const request_facts& request, std::uint64_t handle,
                       support::result_code code, std::vector<dropped_call>& dropped) {
  state.dropped.fetch_add(1, relaxed);
  dropped.push_back({{request, handle, {}}, code});
}

// Evicts a call if the queue is full; returns false if the new call itself has to be refused.
bool evict_for(wait_queue_state& queue, gate& state, const gate_view& view,
               const request_facts& request, support::time_point now,
               std::vector<dropped_call>& dropped) {
  auto victim = queue.eviction_order.winner();
  auto victim_eviction_key = queue.eviction_order.best_key();
  // The new call may bring its organisation above its guaranteed entries, which the keys do not
  // reflect yet.
  const auto& own = queue.organisations[request.organisation].calls;
  if (!own.empty()) {
    const auto worst = std::prev(own.end())->request.level;
    const auto key = eviction_key(view, request.organisation, own.size() + 1, worst);
    victim = key < victim_eviction_key ? request.organisation : victim;
    victim_eviction_key = std::min(key, victim_eviction_key);
  }
  if (victim_eviction_key >=
      eviction_key(view, request.organisation, own.size() + 1, request.level)) {
    return false;
  }
  const auto& calls = queue.organisations[victim].calls;
  drop(queue, state, view, worst_of(calls), support::result_code::queue_full, now, dropped);
  return true;
}

// Returns the organisation whose call runs next. At least one call has to be waiting.
std::uint32_t choose_organisation(wait_queue_state& queue, const gate& state, const gate_view& view,
                                  support::time_point now) {
  const auto time_key =
      due_later_offset + static_cast<std::uint64_t>(now.time_since_epoch().count());
  // A key is outdated if another thread has changed the counters.
  for (int attempt = 0; attempt < max_choice_attempts; ++attempt) {
    const auto organisation = queue.guaranteed.winner();
    update_keys(queue, state, view, organisation, now);
    const auto key = queue.guaranteed.best_key();
    const bool under = key < due_later_offset || (key < above_guarantee_key && key <= time_key);
    if (!under) {
      break;
    }
    if (queue.guaranteed.winner() == organisation) {
      return organisation;
    }
  }
  for (int attempt = 0; attempt < max_choice_attempts; ++attempt) {
    const auto organisation = queue.lent.winner();
    update_keys(queue, state, view, organisation, now);
    if (queue.lent.winner() == organisation) {
      return organisation;
    }
  }
  return queue.lent.winner();
}

// Records when an organisation with a guarantee of less than one slot is due for its next slot.
void record_next_guaranteed(wait_queue_state& queue, const gate& state, const gate_view& view,
                            std::uint32_t organisation, support::time_point now) {
  const double slots =
      view.organisations[organisation].guaranteed * static_cast<double>(usable_slots(state));
  if (slots <= 0.0 || slots >= 1.0) {
    return;
  }
  const auto service_ns = static_cast<double>(expected_service_time(state).count());
  const auto wait = std::min(service_ns / slots, 1e12);
  queue.organisations[organisation].next_guaranteed =
      now + support::nanoseconds(static_cast<std::int64_t>(wait));
}

} // namespace

std::uint32_t queue_capacity_for(std::uint32_t slots) {
  const auto wanted = std::uint64_t{queue_capacity_per_slot} * slots;
  return static_cast<std::uint32_t>(
      std::clamp<std::uint64_t>(wanted, min_queue_capacity, max_queue_capacity));
}

wait_queue::wait_queue(std::uint32_t organisation_count, std::uint32_t capacity)
    : state_(std::make_unique<wait_queue_state>(organisation_count, capacity)) {}
wait_queue::wait_queue(wait_queue&&) noexcept = default;
wait_queue& wait_queue::operator=(wait_queue&&) noexcept = default;
wait_queue::~wait_queue() = default;

std::optional<queue_ticket> enqueue(wait_queue& queue, gate& state, const gate_view& view,
                                    const request_facts& request, std::uint64_t handle,
                                    support::time_point now, std::vector<dropped_call>& dropped) {
  auto& inner = queue.state();
  assert(request.organisation < inner.organisations.size() && "admit checks the organisation");
  const auto drop_at = std::min(now + view.queue_bound, last_useful_start(state, request));
  if (drop_at <= now) {
    refuse_at_enqueue(state, request, handle, support::result_code::queue_timeout, dropped);
    return std::nullopt;
  }
  drop_expired(queue, state, view, now, dropped);
  const auto bound = std::min<std::size_t>(view.queue_capacity, inner.entries.size());
  if (size(queue) >= bound && !evict_for(inner, state, view, request, now, dropped)) {
    refuse_at_enqueue(state, request, handle, support::result_code::queue_full, dropped);
    return std::nullopt;
  }
  const auto index = inner.free_entries.back();
  inner.free_entries.pop_back();
  auto& entry = inner.entries[index];
  entry.request = request;
  entry.handle = handle;
  entry.enqueued = now;
  entry.drop_at = drop_at;
  entry.sequence = ++inner.last_sequence;
  entry.used = true;
  inner.organisations[request.organisation].calls.insert(entry);
  inner.expiry.insert(entry);
  state.waiting.fetch_add(1, relaxed);
  update_keys(inner, state, view, request.organisation, now);
  return queue_ticket{(std::uint64_t{entry.generation} << 32U) | index};
}

std::optional<queued_call> next_from_queue(wait_queue& queue, gate& state, const gate_view& view,
                                           support::time_point now,
                                           std::vector<dropped_call>& dropped,
                                           std::optional<std::uint32_t> finished_organisation) {
  auto& inner = queue.state();
  drop_expired(queue, state, view, now, dropped);
  update_keys_for_limit(inner, state, view, now);
  if (finished_organisation && *finished_organisation < inner.organisations.size()) {
    update_keys(inner, state, view, *finished_organisation, now);
  }
  if (inner.expiry.empty()) {
    return std::nullopt;
  }
  const auto organisation = choose_organisation(inner, state, view, now);
  if (!take_slot(state, organisation, now)) {
    return std::nullopt;
  }
  record_next_guaranteed(inner, state, view, organisation, now);
  const auto& calls = inner.organisations[organisation].calls;
  return dequeue(inner, state, view, best_of(calls, state.overloaded.load(relaxed)), now);
}

void drop_expired(wait_queue& queue, gate& state, const gate_view& view, support::time_point now,
                  std::vector<dropped_call>& dropped) {
  auto& inner = queue.state();
  while (!inner.expiry.empty() && inner.expiry.begin()->drop_at <= now) {
    drop(inner, state, view, *inner.expiry.begin(), support::result_code::queue_timeout, now,
         dropped);
  }
}

std::optional<support::time_point> next_drop_time(const wait_queue& queue) {
  const auto& expiry = queue.state().expiry;
  return expiry.empty() ? std::nullopt : std::optional(expiry.begin()->drop_at);
}

bool remove(wait_queue& queue, gate& state, const gate_view& view, queue_ticket ticket,
            support::time_point now) {
  auto& inner = queue.state();
  const auto index = static_cast<std::uint32_t>(ticket.value);
  if (index >= inner.entries.size()) {
    return false;
  }
  const auto& entry = inner.entries[index];
  if (!entry.used || entry.generation != ticket.value >> 32U) {
    return false;
  }
  dequeue(inner, state, view, entry, now);
  return true;
}

std::uint32_t size(const wait_queue& queue) {
  const auto& inner = queue.state();
  return static_cast<std::uint32_t>(inner.entries.size() - inner.free_entries.size());
}

} // namespace acaciasill::decide

#include "acaciasill/decide/gate.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace acaciasill::decide {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
// A call with less than 1/2 of the expected service time of its kind left cannot meet its deadline.
constexpr int min_time_left_divisor = 2;
constexpr std::uint32_t service_time_decay_divisor = 16;
// Weight of a new service time in the smoothed value: 1 / 2^3.
constexpr unsigned service_time_shift = 3;
constexpr double microseconds_per_second = 1e6;

void store_max(std::atomic<std::uint32_t>& maximum, std::uint32_t value) {
  auto before = maximum.load(relaxed);
  while (value > before && !maximum.compare_exchange_weak(before, value, relaxed)) {
  }
}

void update_smoothed_time(std::atomic<std::uint32_t>& smoothed, std::int64_t counted) {
  const std::int64_t before = smoothed.load(relaxed);
  const std::int64_t after =
      before == 0 ? counted
                  : before + ((counted - before) / (std::int64_t{1} << service_time_shift));
  smoothed.store(static_cast<std::uint32_t>(after), relaxed);
}

void release_slot(gate& state, std::uint32_t organisation) {
  state.organisations[organisation].in_flight.fetch_sub(1, relaxed);
  [[maybe_unused]] const auto before = state.in_flight.fetch_sub(1, std::memory_order_acq_rel);
  assert(before > 0 && "a slot must be released only once");
}

} // namespace

gate::gate(std::uint32_t organisation_count, std::uint32_t initial_limit)
    : limit(initial_limit), organisations(organisation_count) {}

bool take_slot(gate& state, std::uint32_t organisation, support::time_point now) {
  if (next_permit_time(state.rate, now)) {
    return false;
  }
  auto used = state.in_flight.load(relaxed);
  while (used < state.limit.load(relaxed)) {
    if (state.in_flight.compare_exchange_weak(used, used + 1, std::memory_order_acq_rel)) {
      if (!take_permit(state.rate, now)) {
        state.in_flight.fetch_sub(1, std::memory_order_acq_rel);
        return false;
      }
      state.organisations[organisation].in_flight.fetch_add(1, relaxed);
      state.started.fetch_add(1, relaxed);
      store_max(state.peak_in_flight, used + 1);
      return true;
    }
  }
  return false;
}

admit_decision admit(gate& state, const gate_view& view, const request_facts& request,
                     support::time_point now, support::random_source& random) {
  using support::result_code;
  if (request.organisation >= state.organisations.size() ||
      request.organisation >= view.organisations.size()) {
    return {admission::refuse, result_code::unknown_organisation, 0, accept_all};
  }
  if (state.draining.load(relaxed)) {
    return {admission::refuse, result_code::draining, 0, accept_all};
  }
  if (last_useful_start(state, request) <= now) {
    decay_service_time(state.kind_time_us[request.kind % gate_kind_table_size]);
    return refuse(state, view, request, result_code::deadline_exceeded, random);
  }
  auto& counters = state.organisations[request.organisation];
  counters.arrivals.fetch_add(1, relaxed);
  store_max(counters.highest_level, request.level);
  const auto threshold = counters.threshold.load(relaxed);
  const bool below = admits(threshold, request.level);
  // In the half class that contains the threshold, only calls that the threshold admits are
  // counted: rejected ones include repeated attempts of retrying clients, which would be counted
  // many times.
  if (below || half_class_of(threshold) != half_class_of(request.level)) {
    counters.offered[bucket_of(request.level)].fetch_add(1, relaxed);
  }
  if (!below && !request.holds_finished_work) {
    return refuse(state, view, request, result_code::shed_at_upstream, random);
  }
  record_admitted(counters.excess);
  if (state.waiting.load(relaxed) == 0 && take_slot(state, request.organisation, now)) {
    return {admission::run, result_code::ok, 0, reply_threshold(state, request)};
  }
  return {admission::wait, result_code::ok, 0, reply_threshold(state, request)};
}

void on_finish(gate& state, std::uint32_t organisation, support::duration service_time,
               std::uint32_t kind) {
  const auto counted = std::chrono::duration_cast<support::microseconds>(service_time).count();
  const auto bounded = std::clamp<std::int64_t>(counted, 1, std::int64_t{1} << 30);
  state.finished.fetch_add(1, relaxed);
  state.window_finished.fetch_add(1, relaxed);
  state.service_sum_us.fetch_add(static_cast<std::uint64_t>(bounded), relaxed);
  update_smoothed_time(state.service_time_us, bounded);
  update_smoothed_time(state.kind_time_us[kind % gate_kind_table_size], bounded);
  release_slot(state, organisation);
}

void on_cancel(gate& state, std::uint32_t organisation) {
  release_slot(state, organisation);
}

admit_decision refuse(gate& state, const gate_view& view, const request_facts& request,
                      support::result_code code, support::random_source& random) {
  auto& counters = state.organisations[request.organisation];
  record_refused(counters.excess);
  if (code == support::result_code::shed_at_upstream) {
    const double share = view.organisations[request.organisation].guaranteed;
    const auto guaranteed = share * static_cast<double>(usable_slots(state));
    // An organisation that exceeds its guaranteed share gets share_exceeded, since the cause is not
    // a full server.
    if (share > 0.0 && static_cast<double>(counters.in_flight.load(relaxed)) > guaranteed) {
      code = support::result_code::share_exceeded;
    }
  }
  return {admission::refuse, code, retry_after_ms(counters.excess, rank_of(request.level), random),
          reply_threshold(state, request)};
}

level reply_threshold(const gate& state, const request_facts& request) {
  const auto own = state.organisations[request.organisation].threshold.load(relaxed);
  return path_threshold(own, request.holds_finished_work);
}

std::uint32_t usable_slots(const gate& state) {
  const auto limit = state.limit.load(relaxed);
  const double service_s = state.service_time_us.load(relaxed) / microseconds_per_second;
  const double running = std::ceil(rate_in_force(state.rate) * service_s);
  if (service_s <= 0.0 || running >= static_cast<double>(limit)) {
    return limit;
  }
  return std::max(1U, static_cast<std::uint32_t>(running));
}

support::duration expected_service_time(const gate& state) {
  return support::microseconds(state.service_time_us.load(relaxed));
}

support::duration expected_service_time(const gate& state, std::uint32_t kind) {
  return support::microseconds(state.kind_time_us[kind % gate_kind_table_size].load(relaxed));
}

support::time_point last_useful_start(const gate& state, const request_facts& request) {
  return request.deadline - expected_service_time(state, request.kind) / min_time_left_divisor;
}

void decay_service_time(std::atomic<std::uint32_t>& service_time) {
  const auto before = service_time.load(relaxed);
  service_time.store(before - before / service_time_decay_divisor, relaxed);
}

} // namespace acaciasill::decide

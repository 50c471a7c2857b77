#include "acaciasill/control/backend_state.h"

#include <algorithm>
#include <utility>

#include "acaciasill/support/socket_address.h"

namespace acaciasill::control {
namespace {

// Number of consecutive requests without a connection after which the server counts as lost. A
// single one may be caused by a full accept queue.
constexpr std::uint32_t refusals_until_lost = 3;

bool is_same_instance(const backend_report& left, const backend_report& right) {
  return left.instance == right.instance && left.start_ms == right.start_ms;
}

// Returns whether a report is older than the state: by sequence number for the same instance, by
// start time for another instance.
bool is_stale(const backend_state& state, const backend_report& report) {
  if (state.report.instance.empty()) {
    return false;
  }
  if (is_same_instance(state.report, report)) {
    return report.sequence <= state.report.sequence;
  }
  return report.start_ms < state.report.start_ms;
}

} // namespace

bool is_valid(const backend_report& report) {
  return !report.instance.empty() && report.slots > 0 && report.slots <= max_server_slots &&
         support::is_server_address(report.address);
}

report_effect apply_report(backend_state& state, const backend_report& report,
                           support::time_point now) {
  if (is_stale(state, report)) {
    return report_effect::stale;
  }
  const bool same_instance = is_same_instance(state.report, report);
  const auto before = state.report;
  state.report = report;
  state.last_heard = now;
  if (!same_instance) {
    state.consecutive_refusals = 0;
  }
  if (same_instance && state.availability == backend_availability::leaving) {
    return report_effect::none;
  }
  if (report.draining) {
    state.availability = backend_availability::leaving;
    return report_effect::started_draining;
  }
  const auto availability = state.availability;
  state.availability = backend_availability::serving;
  if (!same_instance || availability == backend_availability::unknown) {
    return report_effect::new_instance;
  }
  if (availability == backend_availability::lost) {
    state.consecutive_refusals = 0;
    return report_effect::reachable_again;
  }
  const bool same_details = before.slots == report.slots && before.address == report.address &&
                            before.service == report.service;
  return same_details ? report_effect::none : report_effect::details_changed;
}

bool hold_report(held_report& held, const backend_state& state, const backend_report& report,
                 bool may_have_predecessor) {
  const bool departure_is_undated = state.availability == backend_availability::leaving &&
                                    state.report.instance == report.instance &&
                                    state.report.start_ms == 0 && report.start_ms != 0;
  const bool is_unknown =
      state.availability == backend_availability::unknown && may_have_predecessor;
  const bool is_confirmed = held.report && is_same_instance(*held.report, report) &&
                            report.sequence > held.report->sequence;
  if (is_stale(state, report)) {
    return false;
  }
  if (report.draining || is_confirmed || !(is_unknown || departure_is_undated)) {
    held.report.reset();
    return false;
  }
  // Of two reports in the wrong order, the later one is kept.
  const bool is_older = held.report && (is_same_instance(*held.report, report)
                                            ? report.sequence <= held.report->sequence
                                            : report.start_ms < held.report->start_ms);
  if (!is_older) {
    held.report = report;
  }
  return true;
}

std::optional<backend_report> release_report(held_report& held, const std::string& instance) {
  if (!held.report || held.report->instance != instance) {
    return std::nullopt;
  }
  return std::exchange(held.report, std::nullopt);
}

bool apply_departure(backend_state& state, const std::string& instance,
                     std::optional<std::uint64_t> start_ms) {
  const bool is_known = !state.report.instance.empty();
  // An instance that a health check found has no known start, so that none is known to be later.
  const bool is_later = state.report.start_ms != 0 && start_ms.value_or(0) > state.report.start_ms;
  if (is_known && !is_later &&
      (state.report.instance != instance ||
       start_ms.value_or(state.report.start_ms) < state.report.start_ms)) {
    return false;
  }
  if (state.report.instance != instance) {
    state.report.sequence = 0;
  }
  state.report.start_ms = start_ms.value_or(state.report.start_ms);
  state.report.instance = instance;
  const bool has_changed = state.availability != backend_availability::leaving;
  state.availability = backend_availability::leaving;
  return has_changed;
}

bool apply_stored_state(backend_state& state, const std::string& instance, std::uint64_t start_ms,
                        bool leaving) {
  const bool is_older = !state.report.instance.empty() && start_ms < state.report.start_ms;
  const bool is_other = !state.report.instance.empty() && instance != state.report.instance;
  if (instance.empty() || is_older || (is_other && start_ms == state.report.start_ms)) {
    return false;
  }
  if (state.report.instance.empty() || leaving) {
    state.report.instance = instance;
    state.report.start_ms = start_ms;
  }
  if (!leaving || state.availability == backend_availability::leaving) {
    return false;
  }
  state.availability = backend_availability::leaving;
  return true;
}

bool record_request_result(backend_state& state, bool reached, support::time_point now) {
  if (reached) {
    state.last_heard = now;
    state.consecutive_refusals = 0;
    return false;
  }
  ++state.consecutive_refusals;
  if (state.availability != backend_availability::serving ||
      state.consecutive_refusals < refusals_until_lost) {
    return false;
  }
  state.availability = backend_availability::lost;
  return true;
}

bool check_report_timeout(backend_state& state, support::time_point now,
                          support::duration timeout) {
  if (state.availability != backend_availability::serving || now - state.last_heard <= timeout) {
    return false;
  }
  state.availability = backend_availability::lost;
  return true;
}

void apply_healthy_probe(backend_state& state, const std::string& instance, std::uint32_t slots,
                         support::time_point now) {
  // The sequence is kept, so that the next report of the server itself is not treated as stale.
  state.report.start_ms = state.report.instance == instance ? state.report.start_ms : 0;
  state.report.instance = instance;
  state.report.slots = slots != 0 ? slots : state.report.slots;
  state.report.draining = false;
  state.availability = backend_availability::serving;
  state.last_heard = now;
  state.consecutive_refusals = 0;
}

bool apply_leaving_probe(backend_state& state, held_report& held, const std::string& instance) {
  const auto report = release_report(held, instance);
  const auto known_start = state.report.instance == instance ? state.report.start_ms : 0;
  state.report.start_ms = report ? std::max(report->start_ms, known_start) : known_start;
  state.report.instance = instance;
  return std::exchange(state.availability, backend_availability::leaving) !=
         backend_availability::leaving;
}

} // namespace acaciasill::control

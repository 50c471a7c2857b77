#include "acaciasill/control/backend_life.h"

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
bool is_stale(const backend_life& state, const backend_report& report) {
  if (state.report.instance.empty()) {
    return false;
  }
  if (is_same_instance(state.report, report)) {
    return report.sequence <= state.report.sequence;
  }
  return report.start_ms < state.report.start_ms;
}

} // namespace

report_effect take_report(backend_life& state, const backend_report& report,
                          support::time_point now) {
  if (is_stale(state, report)) {
    return report_effect::stale;
  }
  const bool same_instance = is_same_instance(state.report, report);
  const auto before = state.report;
  state.report = report;
  state.last_heard = now;
  if (!same_instance) {
    state.refused_in_row = 0;
  }
  if (same_instance && state.standing == backend_standing::leaving) {
    return report_effect::none;
  }
  if (report.draining) {
    state.standing = backend_standing::leaving;
    return report_effect::leaves;
  }
  const auto standing = state.standing;
  state.standing = backend_standing::serving;
  if (!same_instance || standing == backend_standing::unknown) {
    return report_effect::new_life;
  }
  if (standing == backend_standing::lost) {
    state.refused_in_row = 0;
    return report_effect::returned;
  }
  const bool same_details = before.slots == report.slots && before.address == report.address &&
                            before.service == report.service;
  return same_details ? report_effect::none : report_effect::figures;
}

bool take_departure(backend_life& state, const std::string& instance,
                    std::optional<std::uint64_t> start_ms) {
  const bool is_known = !state.report.instance.empty();
  if (is_known && (state.report.instance != instance ||
                   start_ms.value_or(state.report.start_ms) < state.report.start_ms)) {
    return false;
  }
  state.report.start_ms = start_ms.value_or(state.report.start_ms);
  state.report.instance = instance;
  const bool has_changed = state.standing != backend_standing::leaving;
  state.standing = backend_standing::leaving;
  return has_changed;
}

bool take_record(backend_life& state, const std::string& instance, std::uint64_t start_ms,
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
  if (!leaving || state.standing == backend_standing::leaving) {
    return false;
  }
  state.standing = backend_standing::leaving;
  return true;
}

bool take_exchange(backend_life& state, bool reached, support::time_point now) {
  if (reached) {
    state.last_heard = now;
    state.refused_in_row = 0;
    return false;
  }
  ++state.refused_in_row;
  if (state.standing != backend_standing::serving || state.refused_in_row < refusals_until_lost) {
    return false;
  }
  state.standing = backend_standing::lost;
  return true;
}

bool check_silence(backend_life& state, support::time_point now, support::duration longest) {
  if (state.standing != backend_standing::serving || now - state.last_heard <= longest) {
    return false;
  }
  state.standing = backend_standing::lost;
  return true;
}

} // namespace acaciasill::control

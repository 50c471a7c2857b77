#include "acaciasill/control/backend_life.h"

namespace acaciasill::control {
namespace {

// Requests in a row without a connection after which the server counts as lost. One alone may be a
// full queue of connections.
constexpr std::uint32_t lost_after_refusals = 3;

bool is_same_life(const backend_report& left, const backend_report& right) {
  return left.instance == right.instance && left.start_ms == right.start_ms;
}

// Whether a report is older than what is known: of this life by its number, of another by its
// start.
bool is_stale(const backend_life& life, const backend_report& report) {
  if (life.report.instance.empty()) {
    return false;
  }
  if (is_same_life(life.report, report)) {
    return report.sequence <= life.report.sequence;
  }
  return report.start_ms < life.report.start_ms;
}

} // namespace

report_effect take_report(backend_life& life, const backend_report& report,
                          support::time_point now) {
  if (is_stale(life, report)) {
    return report_effect::stale;
  }
  const bool same_life = is_same_life(life.report, report);
  const auto before = life.report;
  life.report = report;
  life.last_heard = now;
  if (!same_life) {
    life.refused_in_row = 0;
  }
  if (same_life && life.standing == backend_standing::leaving) {
    return report_effect::none;
  }
  if (report.draining) {
    life.standing = backend_standing::leaving;
    return report_effect::leaves;
  }
  const auto standing = life.standing;
  life.standing = backend_standing::serving;
  if (!same_life || standing == backend_standing::unknown) {
    return report_effect::new_life;
  }
  if (standing == backend_standing::lost) {
    life.refused_in_row = 0;
    return report_effect::returned;
  }
  const bool same_figures = before.slots == report.slots && before.address == report.address &&
                            before.service == report.service;
  return same_figures ? report_effect::none : report_effect::figures;
}

bool take_departure(backend_life& life, const std::string& instance,
                    std::optional<std::uint64_t> start_ms) {
  const bool is_known = !life.report.instance.empty();
  if (is_known && (life.report.instance != instance ||
                   start_ms.value_or(life.report.start_ms) < life.report.start_ms)) {
    return false;
  }
  life.report.start_ms = start_ms.value_or(life.report.start_ms);
  life.report.instance = instance;
  const bool was_news = life.standing != backend_standing::leaving;
  life.standing = backend_standing::leaving;
  return was_news;
}

bool take_record(backend_life& life, const std::string& instance, std::uint64_t start_ms,
                 bool leaving) {
  const bool is_older = !life.report.instance.empty() && start_ms < life.report.start_ms;
  const bool is_other = !life.report.instance.empty() && instance != life.report.instance;
  if (instance.empty() || is_older || (is_other && start_ms == life.report.start_ms)) {
    return false;
  }
  if (life.report.instance.empty() || leaving) {
    life.report.instance = instance;
    life.report.start_ms = start_ms;
  }
  if (!leaving || life.standing == backend_standing::leaving) {
    return false;
  }
  life.standing = backend_standing::leaving;
  return true;
}

bool take_exchange(backend_life& life, bool reached, support::time_point now) {
  if (reached) {
    life.last_heard = now;
    life.refused_in_row = 0;
    return false;
  }
  ++life.refused_in_row;
  if (life.standing != backend_standing::serving || life.refused_in_row < lost_after_refusals) {
    return false;
  }
  life.standing = backend_standing::lost;
  return true;
}

bool check_silence(backend_life& life, support::time_point now, support::duration longest) {
  if (life.standing != backend_standing::serving || now - life.last_heard <= longest) {
    return false;
  }
  life.standing = backend_standing::lost;
  return true;
}

} // namespace acaciasill::control

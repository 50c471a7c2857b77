#ifndef ACACIASILL_DECIDE_THRESHOLD_CONTROLLER_H
#define ACACIASILL_DECIDE_THRESHOLD_CONTROLLER_H

#include <array>
#include <cstdint>
#include <vector>

#include "acaciasill/decide/gate.h"

// Periodic control of an upstream's admission thresholds, one per organisation.
namespace acaciasill::decide {

// Offered load of one organisation.
struct organisation_demand {
  // Smoothed calls per period, by bucket of level.
  std::array<double, bucket_count> offered{};
  double total = 0.0;
  // Smoothed highest, i.e. least important, level that callers still offer; they shed calls above
  // it themselves.
  double highest_level = 0.0;
};

// Claim of one organisation on the budget, used during its allocation.
struct share_claim {
  std::uint32_t organisation = 0;
  double weight = 1.0;
  double granted = 0.0;
  // Demand of ranks more important than the one being granted.
  double above = 0.0;
  double unmet = 0.0;
};

// State of the controller, owned by one control thread.
struct threshold_controller {
  explicit threshold_controller(std::uint32_t organisation_count) : demand(organisation_count) {}

  std::vector<organisation_demand> demand;
  // Organisations that have offered calls recently.
  std::vector<std::uint32_t> active;
  std::vector<share_claim> claims;
  // Calls that may be admitted per period; not used while `open` is set.
  double budget = 0.0;
  // True if all thresholds are open.
  bool open = true;
  // Smoothed calls finished per period.
  double finished = 0.0;
  // Smoothed calls per period that were started or dropped, those dropped, and the total queueing
  // delay in microseconds. With a few calls per period, a single period is not significant.
  double entered = 0.0;
  double dropped = 0.0;
  double delay_us = 0.0;
  // Waiting calls at the last adjustment.
  double waiting_before = 0.0;
  // Consecutive adjustments without queueing.
  std::uint32_t periods_without_queueing = 0;
  // Control periods since the last adjustment, and the smoothed interval between adjustments. The
  // smoothed counts above are per such interval.
  std::uint32_t periods = 0;
  double interval_us = 0.0;
};

// Reads the counters since the last adjustment, updates the budget of admitted calls and sets every
// organisation's threshold. To be called every control_period.
void adjust(gate& state, const gate_view& view, threshold_controller& controller);

inline constexpr support::milliseconds control_period{20};

} // namespace acaciasill::decide

#endif

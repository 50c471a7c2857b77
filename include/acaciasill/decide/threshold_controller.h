#ifndef ACACIASILL_DECIDE_THRESHOLD_CONTROLLER_H
#define ACACIASILL_DECIDE_THRESHOLD_CONTROLLER_H

#include <array>
#include <cstdint>
#include <vector>

#include "acaciasill/decide/gate.h"

// The periodic control of an upstream's admission thresholds, one for each organisation.
namespace acaciasill::decide {

// What the controller remembers of one organisation's offered calls.
struct organisation_demand {
  // Calls in one period, smoothed, by bucket of level.
  std::array<double, bucket_count> offered{};
  double total = 0.0;
  // The least important level that callers still offer, smoothed; they shed what is above it.
  double highest = 0.0;
};

// One organisation's claim on the budget, used while it is divided.
struct share_claim {
  std::uint32_t organisation = 0;
  double weight = 1.0;
  double granted = 0.0;
  // Demand of more important ranks than the one being granted.
  double above = 0.0;
  double missing = 0.0;
};

// The controller's own state; one control thread owns it.
struct threshold_controller {
  explicit threshold_controller(std::uint32_t organisation_count) : demand(organisation_count) {}

  std::vector<organisation_demand> demand;
  // Organisations that had offered calls lately.
  std::vector<std::uint32_t> active;
  std::vector<share_claim> claims;
  // Calls that may be admitted in one period; meaningless while open.
  double budget = 0.0;
  // Whether all thresholds are open.
  bool open = true;
  // Calls finished in one period, smoothed.
  double finished = 0.0;
  // Calls that entered or were dropped from the queue in one period, and the microseconds that they
  // had waited, both smoothed. At a few calls a period one alone says nothing about the upstream.
  double entered = 0.0;
  double dropped = 0.0;
  double delay_us = 0.0;
  // Calls that waited at the last adjustment.
  double waiting_before = 0.0;
  // Adjustments in a row that found no queueing.
  std::uint32_t quiet = 0;
  // Control periods since the last adjustment, and the smoothed time between two adjustments. What
  // the figures above count in one period, they count between two adjustments.
  std::uint32_t periods = 0;
  double interval_us = 0.0;
};

// Reads the figures since the last call, moves the budget of admitted calls, and writes every
// organisation's threshold. Call it every control_period.
void adjust(gate& state, const gate_view& view, threshold_controller& controller);

inline constexpr support::milliseconds control_period{20};

} // namespace acaciasill::decide

#endif

#include "acaciasill/decide/threshold_controller.h"

#include <algorithm>
#include <numeric>

#include "share_allocation.h"

namespace acaciasill::decide {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
// The part of a new period in the smoothed figures.
constexpr double smoothing = 0.2;
// What a closed bucket keeps of its remembered demand in one period; half is gone after 2.8 s.
constexpr double closed_memory = 0.995;
// Demand below this many calls in a period counts as none.
constexpr double negligible = 0.01;
// The part of the calls of a period whose drop from the queue counts as overload.
constexpr double tolerated_drops = 0.02;
// The part of the waiting calls that a tightened budget leaves room to drain in one period.
constexpr double drain_part = 0.25;
// The largest step of recovery is this multiple of threshold_step.
constexpr double largest_growth = 5.0;
// Quiet periods for which the step of recovery grows by one more threshold_step.
constexpr double growth_periods = 4.0;
// The fewest calls in a period that a budget allows.
constexpr double least_budget = 0.5;
// All thresholds open once the budget exceeds the remembered demand by this factor.
constexpr double open_margin = 1.2;
// Periodic reduction of the excess: in each period it falls by 1 / 2^4 and a constant.
constexpr std::uint32_t excess_shift = 4;
constexpr std::uint32_t excess_constant = 2;
// Excess below this, in hundredths, counts as none.
constexpr std::uint32_t excess_exit = 20;
constexpr std::uint32_t excess_largest = 5000;

void smooth_bucket(double& remembered, double counted, bool closed) {
  if (!closed || counted > remembered) {
    remembered += smoothing * (counted - remembered);
    return;
  }
  // Callers that learned the threshold no longer offer what is above it.
  remembered *= closed_memory;
}

void collect_demand(organisation_counters& counters, organisation_demand& demand) {
  const auto arrivals = counters.arrivals.exchange(0, relaxed);
  const auto last_open = bucket_of(counters.threshold.load(relaxed));
  demand.total = 0.0;
  for (unsigned bucket = 0; bucket < bucket_count; ++bucket) {
    const std::uint32_t counted = arrivals == 0 ? 0 : counters.offered[bucket].exchange(0, relaxed);
    smooth_bucket(demand.offered[bucket], counted, bucket > last_open);
    demand.total += demand.offered[bucket];
  }
}

void reduce_excess(organisation_counters& counters, const organisation_demand& demand) {
  const double refused = counters.refused.exchange(0, relaxed);
  const double admitted = std::max(1.0, demand.total - refused);
  const auto present =
      static_cast<std::uint32_t>(std::min<double>(excess_largest, 100.0 * refused / admitted));
  const auto before = counters.excess.load(relaxed);
  const auto reduction = (before >> excess_shift) + excess_constant;
  const auto reduced = before > reduction + excess_exit ? before - reduction : 0;
  counters.excess.store(std::max(present, reduced), relaxed);
}

void collect(gate& state, threshold_controller& controller) {
  controller.active.clear();
  for (std::uint32_t index = 0; index < state.organisations.size(); ++index) {
    auto& counters = state.organisations[index];
    auto& demand = controller.demand[index];
    if (counters.arrivals.load(relaxed) == 0 && demand.total < negligible &&
        counters.excess.load(relaxed) == 0) {
      demand.total = 0.0;
      continue;
    }
    collect_demand(counters, demand);
    reduce_excess(counters, demand);
    controller.active.push_back(index);
  }
}

// What the upstream did in one period.
struct period_figures {
  double finished = 0.0;
  double dropped = 0.0;
  double entered = 0.0;
  // Mean over the calls that entered.
  support::duration delay{};
};

period_figures take_figures(gate& state) {
  period_figures figures;
  figures.finished = state.finished.exchange(0, relaxed);
  figures.dropped = state.dropped.exchange(0, relaxed);
  figures.entered = state.started.exchange(0, relaxed) + figures.dropped;
  const auto delay = static_cast<double>(state.queue_delay_us.exchange(0, relaxed));
  const auto mean = delay / std::max(1.0, figures.entered);
  figures.delay = support::microseconds(static_cast<std::int64_t>(mean));
  return figures;
}

void tighten(const gate& state, threshold_controller& controller) {
  const double waiting = state.waiting.load(relaxed);
  const double before =
      controller.open ? controller.finished : std::min(controller.budget, controller.finished);
  const double drained = controller.finished - drain_part * waiting;
  controller.budget = std::max({least_budget, before / 2.0, std::min(before, drained)});
  controller.open = false;
  controller.quiet = 0;
}

void loosen(const gate_view& view, threshold_controller& controller) {
  ++controller.quiet;
  const double growth = std::min(largest_growth, 1.0 + controller.quiet / growth_periods);
  controller.budget += std::max(least_budget, controller.budget * view.threshold_step * growth);
}

void move_budget(gate& state, const gate_view& view, threshold_controller& controller,
                 const period_figures& figures) {
  const bool drops = figures.dropped > 1.0 && figures.dropped > tolerated_drops * figures.entered;
  const bool overloaded = drops || figures.delay > view.queue_target;
  state.overloaded.store(overloaded, relaxed);
  if (overloaded) {
    tighten(state, controller);
    return;
  }
  if (controller.open || figures.delay > view.queue_target / 2) {
    return;
  }
  loosen(view, controller);
  double total = 0.0;
  for (const auto index : controller.active) {
    total += controller.demand[index].total;
  }
  controller.open = controller.budget > open_margin * total;
}

} // namespace

void adjust(gate& state, const gate_view& view, threshold_controller& controller) {
  collect(state, controller);
  const auto figures = take_figures(state);
  controller.finished += smoothing * (figures.finished - controller.finished);
  if (figures.finished == 0.0 && state.in_flight.load(relaxed) == 0) {
    // A service time that nobody confirms must not keep calls out.
    const auto remembered = state.service_time_us.load(relaxed);
    state.service_time_us.store(remembered - remembered / 16, relaxed);
  }
  move_budget(state, view, controller, figures);
  if (controller.open) {
    for (auto& counters : state.organisations) {
      counters.threshold.store(accept_all, relaxed);
    }
    return;
  }
  allocate_shares(state, view, controller);
}

} // namespace acaciasill::decide

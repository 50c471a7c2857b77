#include "acaciasill/decide/threshold_controller.h"

#include <algorithm>
#include <numeric>

#include "share_allocation.h"

namespace acaciasill::decide {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
// Weight of a new period in the smoothed values.
constexpr double smoothing = 0.2;
// Decay factor per period for the recorded demand of a bucket above the threshold; half remains
// after 2.8 s.
constexpr double closed_bucket_decay = 0.995;
// Weight of a new period in the highest level offered, if that falls.
constexpr double highest_smoothing = 0.05;
// Minimum admitted fraction of a half class for extrapolating to the whole; a smaller sample is not
// significant.
constexpr double min_admitted_fraction = 1.0 / 64.0;
constexpr double min_boundary_weight = 0.25;
// Demand in calls per period below which an organisation is considered idle.
constexpr double negligible = 0.01;
// Fraction of dropped calls per period above which the upstream is overloaded.
constexpr double tolerated_drop_fraction = 0.02;
// Number of finished calls that an adjustment waits for, and maximum number of periods that it
// waits.
constexpr std::uint32_t min_finished_samples = 16;
constexpr std::uint32_t max_periods_between_adjustments = 5;
// Smoothed dropped calls per period up to which drops are considered random.
constexpr double negligible_drops = 0.2;
// Maximum target for the queueing delay, as a fraction of the queue bound.
constexpr double max_target_fraction = 0.5;
// Fraction of the waiting calls for whose drain in one period a reduced budget leaves capacity.
constexpr double drain_fraction = 0.25;
// Minimum fraction of the completion rate kept when shedding starts, and maximum reduction of the
// budget per period afterwards. Requests that make several calls continue to do so until they end,
// after the entry has learned the threshold; a deeper cut would only leave the upstream idle
// afterwards.
constexpr double min_kept_on_shedding_start = 0.8;
constexpr double max_cut_fraction = 0.1;
// Minimum fraction of the completion rate kept while shedding. Calls of running requests arrive
// regardless of the thresholds, and the queue that they cause must not reduce the budget so far
// that more important calls are shed.
constexpr double min_kept_while_shedding = 0.5;
// Gains of the queue controller, in calls per period for each waiting call.
constexpr double integral_gain = 0.005;
constexpr double proportional_gain = 0.3;
// Maximum recovery step, as a multiple of threshold_step.
constexpr double max_recovery_factor = 5.0;
// Periods without queueing after which the recovery step grows by another threshold_step.
constexpr double recovery_growth_periods = 4.0;
// Minimum budget, in calls per period.
constexpr double min_budget = 0.5;
// Ratio of the budget to the recorded demand above which all thresholds are opened.
constexpr double open_margin = 1.2;

void smooth_bucket(double& smoothed, double counted, bool closed) {
  if (!closed || counted > smoothed) {
    smoothed += smoothing * (counted - smoothed);
    return;
  }
  // Callers that have learned the threshold no longer offer calls above it.
  smoothed *= closed_bucket_decay;
}

// Updates the demand of the half class that contains the threshold. Its admitted part is
// extrapolated to the whole, since levels are distributed evenly within a half class.
void smooth_boundary(organisation_demand& demand, level threshold, double counted) {
  const double open = ((threshold & hash_mask) + 1.0) / (hash_mask + 1.0);
  const double weight = smoothing * std::max(open, min_boundary_weight);
  const auto first = half_class_of(threshold) * buckets_in_half_class;
  for (unsigned bucket = first; bucket < first + buckets_in_half_class; ++bucket) {
    const double before = demand.offered[bucket];
    const double present = counted / std::max(open, min_admitted_fraction) / buckets_in_half_class;
    demand.offered[bucket] += weight * (present - before);
    demand.total += demand.offered[bucket] - before;
  }
}

void smooth_highest(organisation_counters& counters, organisation_demand& demand, bool arrived) {
  const double seen = counters.highest_level.exchange(0, relaxed);
  const double threshold = counters.threshold.load(relaxed);
  if (!arrived) {
    // Without arrivals no call is known to be shed at the entries.
    demand.highest_level = std::max(demand.highest_level, threshold);
    return;
  }
  demand.highest_level =
      std::max(seen, demand.highest_level + highest_smoothing * (seen - demand.highest_level));
}

void collect_demand(organisation_counters& counters, organisation_demand& demand) {
  const auto arrivals = counters.arrivals.exchange(0, relaxed);
  smooth_highest(counters, demand, arrivals > 0);
  const auto threshold = counters.threshold.load(relaxed);
  const auto boundary = half_class_of(threshold);
  demand.total = 0.0;
  double in_boundary = 0.0;
  for (unsigned bucket = 0; bucket < bucket_count; ++bucket) {
    // Most buckets are empty, and a load is far cheaper than an exchange.
    auto& offered = counters.offered[bucket];
    const bool any = arrivals > 0 && offered.load(relaxed) > 0;
    const std::uint32_t counted = any ? offered.exchange(0, relaxed) : 0;
    const auto half_class = bucket / buckets_in_half_class;
    if (half_class == boundary) {
      in_boundary += counted;
    } else {
      smooth_bucket(demand.offered[bucket], counted, half_class > boundary);
    }
    demand.total += demand.offered[bucket];
  }
  smooth_boundary(demand, threshold, in_boundary);
}

void collect_demands(gate& state, threshold_controller& controller) {
  controller.active.clear();
  for (std::uint32_t index = 0; index < state.organisations.size(); ++index) {
    auto& counters = state.organisations[index];
    auto& demand = controller.demand[index];
    if (counters.arrivals.load(relaxed) == 0 && demand.total < negligible &&
        counters.excess.ratio_percent.load(relaxed) == 0) {
      demand.total = 0.0;
      continue;
    }
    collect_demand(counters, demand);
    update_excess(counters.excess);
    controller.active.push_back(index);
  }
}

void smooth(double& smoothed, double counted) {
  smoothed += smoothing * (counted - smoothed);
}

// Collects the upstream's counters of one period; returns the number of calls finished.
double collect_counters(gate& state, threshold_controller& controller) {
  const double finished = state.finished.exchange(0, relaxed);
  const double dropped = state.dropped.exchange(0, relaxed);
  smooth(controller.finished, finished);
  smooth(controller.dropped, dropped);
  smooth(controller.entered, state.started.exchange(0, relaxed) + dropped);
  smooth(controller.delay_us, static_cast<double>(state.queue_delay_us.exchange(0, relaxed)));
  return finished;
}

// Returns the recent mean queueing delay in microseconds.
double mean_delay_us(const threshold_controller& controller) {
  return controller.entered < negligible ? 0.0 : controller.delay_us / controller.entered;
}

// Returns the target for the queueing delay in microseconds. With few slots, calls wait for about
// one service time long before the upstream is full, so that a shorter target would shed at
// moderate load.
double target_us(const gate& state, const gate_view& view) {
  const auto configured = static_cast<double>(
      std::chrono::duration_cast<support::microseconds>(view.queue_target).count());
  const auto bound = static_cast<double>(
      std::chrono::duration_cast<support::microseconds>(view.queue_bound).count());
  const double service_time = state.service_time_us.load(relaxed);
  return std::max(configured, std::min(service_time, bound * max_target_fraction));
}

// Returns the queue length that corresponds to the target delay.
double target_queue_length(const gate& state, const gate_view& view,
                           const threshold_controller& controller) {
  return controller.finished * target_us(state, view) / std::max(1.0, controller.interval_us);
}

// Starts shedding: the budget becomes the completion rate less a fraction of the waiting calls.
void start_shedding(const gate& state, threshold_controller& controller) {
  const double waiting = state.waiting.load(relaxed);
  controller.budget = std::max({min_budget, controller.finished * min_kept_on_shedding_start,
                                controller.finished - drain_fraction * waiting});
  controller.open = false;
  controller.periods_without_queueing = 0;
}

// Controls the queue length around its target with a proportional-integral controller in velocity
// form.
void regulate_queue(const gate& state, const gate_view& view, threshold_controller& controller) {
  const double waiting = state.waiting.load(relaxed);
  const double error = target_queue_length(state, view, controller) - waiting;
  const double change =
      integral_gain * error - proportional_gain * (waiting - controller.waiting_before);
  const double max_change = controller.budget * view.threshold_step;
  const double min_change = -controller.budget * max_cut_fraction;
  controller.budget = std::max({min_budget, controller.finished * min_kept_while_shedding,
                                controller.budget + std::clamp(change, min_change, max_change)});
  controller.periods_without_queueing = 0;
}

double recovery_factor(const threshold_controller& controller) {
  return std::min(max_recovery_factor,
                  1.0 + controller.periods_without_queueing / recovery_growth_periods);
}

// Raises the budget. All thresholds are opened once the budget exceeds the recorded demand and
// every threshold has risen to the top.
void raise_budget(const gate& state, const gate_view& view, threshold_controller& controller) {
  ++controller.periods_without_queueing;
  double total = 0.0;
  bool risen = true;
  for (const auto index : controller.active) {
    risen = risen && state.organisations[index].threshold.load(relaxed) == accept_all;
    total += controller.demand[index].total;
  }
  const double part = view.threshold_step * recovery_factor(controller);
  const double raised = controller.budget + std::max(min_budget, controller.budget * part);
  const double open_budget = open_margin * total + min_budget;
  controller.open = risen && raised >= open_budget;
  controller.budget = std::min(raised, std::max(open_budget, controller.budget));
}

// Returns true if there are enough samples for an adjustment; a decision on a few calls would be
// dominated by chance. An idle upstream is adjusted at once, so that thresholds do not stay closed
// without traffic. Updates the interval if it returns true.
bool has_enough_samples(const gate& state, threshold_controller& controller) {
  ++controller.periods;
  const bool idle = state.started.load(relaxed) == 0 && state.finished.load(relaxed) == 0 &&
                    state.dropped.load(relaxed) == 0 && state.waiting.load(relaxed) == 0;
  const bool enough = state.finished.load(relaxed) >= min_finished_samples;
  if (!idle && !enough && controller.periods < max_periods_between_adjustments) {
    return false;
  }
  const support::microseconds interval = control_period * controller.periods;
  smooth(controller.interval_us, static_cast<double>(interval.count()));
  controller.periods = 0;
  return true;
}

void update_budget(gate& state, const gate_view& view, threshold_controller& controller) {
  const double target = target_us(state, view);
  const double delay = mean_delay_us(controller);
  const bool drops = controller.dropped > tolerated_drop_fraction * controller.entered &&
                     controller.dropped > negligible_drops;
  const bool overloaded = drops || delay > target;
  const double exit_delay = target * view.recovery_target_fraction;
  const double waiting = state.waiting.load(relaxed);
  state.overloaded.store(overloaded, relaxed);
  if (overloaded && controller.open) {
    start_shedding(state, controller);
  } else if (!controller.open && (waiting > 0.0 || delay > exit_delay)) {
    regulate_queue(state, view, controller);
  } else if (!controller.open) {
    raise_budget(state, view, controller);
  }
  controller.waiting_before = waiting;
}

} // namespace

void adjust(gate& state, const gate_view& view, threshold_controller& controller) {
  if (!has_enough_samples(state, controller)) {
    return;
  }
  collect_demands(state, controller);
  const double finished = collect_counters(state, controller);
  if (finished == 0.0 && state.in_flight.load(relaxed) == 0) {
    // Without completed calls a stale service time must not cause refusals.
    decay_service_time(state.service_time_us);
    for (auto& time : state.kind_time_us) {
      decay_service_time(time);
    }
  }
  update_budget(state, view, controller);
  if (controller.open) {
    for (auto& counters : state.organisations) {
      counters.threshold.store(accept_all, relaxed);
    }
    return;
  }
  allocate_shares(state, view, controller, recovery_factor(controller));
}

} // namespace acaciasill::decide

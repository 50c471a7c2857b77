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
// The part of a new period in the least important level offered, where that falls.
constexpr double highest_smoothing = 0.05;
// A smaller open part of a half class tells nothing certain of the whole.
constexpr double least_open_part = 1.0 / 64.0;
constexpr double least_edge_weight = 0.25;
// Demand below this many calls in a period counts as none.
constexpr double negligible = 0.01;
// The part of the calls of a period whose drop from the queue counts as overload.
constexpr double tolerated_drops = 0.02;
// An adjustment waits for this many finished calls, and for no more periods than this.
constexpr std::uint32_t enough_finished = 16;
constexpr std::uint32_t most_periods = 5;
// Dropped calls in a period, smoothed, below which drops are chance.
constexpr double negligible_drops = 0.2;
// The largest part of the queue's bound that the delay is held at.
constexpr double largest_target_part = 0.5;
// The part of the waiting calls that a tightened budget leaves room to drain in one period.
constexpr double drain_part = 0.25;
// What closing keeps at least of the calls that finish, and what one period of holding takes at
// most. Requests that make several calls go on calling for their whole length after the entry has
// learned, so that a deeper cut only leaves the upstream idle afterwards.
constexpr double least_kept_on_closing = 0.8;
constexpr double largest_cut = 0.1;
// What holding keeps at least of the calls that finish: calls of running requests come whatever the
// thresholds say, and the budget must not fall to more important calls for a queue that they make.
constexpr double least_kept_on_holding = 0.5;
// The gains of the queue's control, in calls of a period for each waiting call.
constexpr double integral_gain = 0.005;
constexpr double proportional_gain = 0.3;
// The largest step of recovery is this multiple of threshold_step.
constexpr double largest_growth = 5.0;
// Quiet periods for which the step of recovery grows by one more threshold_step.
constexpr double growth_periods = 4.0;
// The fewest calls in a period that a budget allows.
constexpr double least_budget = 0.5;
// All thresholds open once the budget exceeds the remembered demand by this factor.
constexpr double open_margin = 1.2;

void smooth_bucket(double& remembered, double counted, bool closed) {
  if (!closed || counted > remembered) {
    remembered += smoothing * (counted - remembered);
    return;
  }
  // Callers that learned the threshold no longer offer what is above it.
  remembered *= closed_memory;
}

// Takes in what came of the half class that the threshold cuts through: its open part stands for
// the whole, since levels are spread evenly in it.
void smooth_edge(organisation_demand& demand, level threshold, double counted) {
  const double open = ((threshold & hash_mask) + 1.0) / (hash_mask + 1.0);
  const double weight = smoothing * std::max(open, least_edge_weight);
  const auto first = half_class_of(threshold) * buckets_in_half_class;
  for (unsigned bucket = first; bucket < first + buckets_in_half_class; ++bucket) {
    const double before = demand.offered[bucket];
    const double present = counted / std::max(open, least_open_part) / buckets_in_half_class;
    demand.offered[bucket] += weight * (present - before);
    demand.total += demand.offered[bucket] - before;
  }
}

void smooth_highest(organisation_counters& counters, organisation_demand& demand, bool arrived) {
  const double seen = counters.highest.exchange(0, relaxed);
  const double threshold = counters.threshold.load(relaxed);
  if (!arrived) {
    // Where nobody calls, nothing is known to be shed.
    demand.highest = std::max(demand.highest, threshold);
    return;
  }
  demand.highest = std::max(seen, demand.highest + highest_smoothing * (seen - demand.highest));
}

void collect_demand(organisation_counters& counters, organisation_demand& demand) {
  const auto arrivals = counters.arrivals.exchange(0, relaxed);
  smooth_highest(counters, demand, arrivals > 0);
  const auto threshold = counters.threshold.load(relaxed);
  const auto edge = half_class_of(threshold);
  demand.total = 0.0;
  double in_edge = 0.0;
  for (unsigned bucket = 0; bucket < bucket_count; ++bucket) {
    // Most buckets are empty, and a read costs far less than an exchange.
    auto& offered = counters.offered[bucket];
    const bool any = arrivals > 0 && offered.load(relaxed) > 0;
    const std::uint32_t counted = any ? offered.exchange(0, relaxed) : 0;
    const auto half_class = bucket / buckets_in_half_class;
    if (half_class == edge) {
      in_edge += counted;
    } else {
      smooth_bucket(demand.offered[bucket], counted, half_class > edge);
    }
    demand.total += demand.offered[bucket];
  }
  smooth_edge(demand, threshold, in_edge);
}

void collect(gate& state, threshold_controller& controller) {
  controller.active.clear();
  for (std::uint32_t index = 0; index < state.organisations.size(); ++index) {
    auto& counters = state.organisations[index];
    auto& demand = controller.demand[index];
    if (counters.arrivals.load(relaxed) == 0 && demand.total < negligible &&
        counters.excess.hundredths.load(relaxed) == 0) {
      demand.total = 0.0;
      continue;
    }
    collect_demand(counters, demand);
    reduce_excess(counters.excess);
    controller.active.push_back(index);
  }
}

void smooth(double& remembered, double counted) {
  remembered += smoothing * (counted - remembered);
}

// Takes in what the upstream did in one period; returns the calls that it finished.
double take_figures(gate& state, threshold_controller& controller) {
  const double finished = state.finished.exchange(0, relaxed);
  const double dropped = state.dropped.exchange(0, relaxed);
  smooth(controller.finished, finished);
  smooth(controller.dropped, dropped);
  smooth(controller.entered, state.started.exchange(0, relaxed) + dropped);
  smooth(controller.delay_us, static_cast<double>(state.queue_delay_us.exchange(0, relaxed)));
  return finished;
}

// The mean queueing delay of late, in microseconds.
double mean_delay_us(const threshold_controller& controller) {
  return controller.entered < negligible ? 0.0 : controller.delay_us / controller.entered;
}

// The queueing delay to hold, in microseconds. Where an upstream has few slots, calls wait for
// about a service time long before it is full, so that a shorter target would shed at moderate
// load.
double target_us(const gate& state, const gate_view& view) {
  const auto configured = static_cast<double>(
      std::chrono::duration_cast<support::microseconds>(view.queue_target).count());
  const auto bound = static_cast<double>(
      std::chrono::duration_cast<support::microseconds>(view.queue_bound).count());
  const double service_time = state.service_time_us.load(relaxed);
  return std::max(configured, std::min(service_time, bound * largest_target_part));
}

// The calls that wait when the queueing delay is on its target.
double wanted_queue(const gate& state, const gate_view& view,
                    const threshold_controller& controller) {
  return controller.finished * target_us(state, view) / std::max(1.0, controller.interval_us);
}

// Closes the thresholds: as much is admitted as is finished, less a part of what waits.
void close(const gate& state, threshold_controller& controller) {
  const double waiting = state.waiting.load(relaxed);
  controller.budget = std::max({least_budget, controller.finished * least_kept_on_closing,
                                controller.finished - drain_part * waiting});
  controller.open = false;
  controller.quiet = 0;
}

// Holds the queue near its wanted length: a proportional and integral control in its velocity form.
void hold(const gate& state, const gate_view& view, threshold_controller& controller) {
  const double waiting = state.waiting.load(relaxed);
  const double error = wanted_queue(state, view, controller) - waiting;
  const double change =
      integral_gain * error - proportional_gain * (waiting - controller.waiting_before);
  const double most = controller.budget * view.threshold_step;
  const double least = -controller.budget * largest_cut;
  controller.budget = std::max({least_budget, controller.finished * least_kept_on_holding,
                                controller.budget + std::clamp(change, least, most)});
  controller.quiet = 0;
}

double growth_of(const threshold_controller& controller) {
  return std::min(largest_growth, 1.0 + controller.quiet / growth_periods);
}

// Admits more; all thresholds open once the budget has room for what is remembered and each
// threshold has risen so far.
void loosen(const gate& state, const gate_view& view, threshold_controller& controller) {
  ++controller.quiet;
  double total = 0.0;
  bool risen = true;
  for (const auto index : controller.active) {
    risen = risen && state.organisations[index].threshold.load(relaxed) == accept_all;
    total += controller.demand[index].total;
  }
  const double part = view.threshold_step * growth_of(controller);
  const double raised = controller.budget + std::max(least_budget, controller.budget * part);
  const double most = open_margin * total + least_budget;
  controller.open = risen && raised >= most;
  controller.budget = std::min(raised, std::max(most, controller.budget));
}

// Whether enough has happened for an adjustment; a few calls alone would be judged by chance. An
// idle upstream is adjusted at once, so that nothing stays closed without traffic. Takes the time
// in where it has.
bool has_enough_figures(const gate& state, threshold_controller& controller) {
  ++controller.periods;
  const bool idle = state.started.load(relaxed) == 0 && state.finished.load(relaxed) == 0 &&
                    state.dropped.load(relaxed) == 0 && state.waiting.load(relaxed) == 0;
  const bool enough = state.finished.load(relaxed) >= enough_finished;
  if (!idle && !enough && controller.periods < most_periods) {
    return false;
  }
  const support::microseconds interval = control_period * controller.periods;
  smooth(controller.interval_us, static_cast<double>(interval.count()));
  controller.periods = 0;
  return true;
}

void move_budget(gate& state, const gate_view& view, threshold_controller& controller) {
  const double target = target_us(state, view);
  const double delay = mean_delay_us(controller);
  const bool drops = controller.dropped > tolerated_drops * controller.entered &&
                     controller.dropped > negligible_drops;
  const bool overloaded = drops || delay > target;
  const double exit_delay = target * view.exit_part;
  const double waiting = state.waiting.load(relaxed);
  state.overloaded.store(overloaded, relaxed);
  if (overloaded && controller.open) {
    close(state, controller);
  } else if (!controller.open && (waiting > 0.0 || delay > exit_delay)) {
    hold(state, view, controller);
  } else if (!controller.open) {
    loosen(state, view, controller);
  }
  controller.waiting_before = waiting;
}

} // namespace

void adjust(gate& state, const gate_view& view, threshold_controller& controller) {
  if (!has_enough_figures(state, controller)) {
    return;
  }
  collect(state, controller);
  const double finished = take_figures(state, controller);
  if (finished == 0.0 && state.in_flight.load(relaxed) == 0) {
    // A service time that nobody confirms must not keep calls out.
    forget_time(state.service_time_us);
    for (auto& time : state.kind_time_us) {
      forget_time(time);
    }
  }
  move_budget(state, view, controller);
  if (controller.open) {
    for (auto& counters : state.organisations) {
      counters.threshold.store(accept_all, relaxed);
    }
    return;
  }
  allocate_shares(state, view, controller, growth_of(controller));
}

} // namespace acaciasill::decide

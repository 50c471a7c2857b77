#include "acaciasill/decide/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace acaciasill::decide {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
constexpr double first_part = 0.1;
// Utilisation of the limit from which the server is considered saturated.
constexpr double saturated_part = 0.9;
// Ratio of the service time to its unsaturated value above which the server is considered slow.
constexpr double suspicious_slowness = 1.5;
// Factor by which a probe lowers the limit.
constexpr double trial_part = 0.8;
// Fraction of the completion rate that has to remain for a probe's lower limit to be kept.
constexpr double held_rate = 0.93;
// Factor for the limit of a server that refuses calls itself.
constexpr double shed_part = 0.9;
// Fraction by which the limit is raised in a window without signs of slowness.
constexpr double regain_part = 0.05;
// Windows between a failed probe and the next one.
constexpr std::uint32_t failed_trial_pause = 10;
// Maximum ratio of reported to configured slots that is believed.
constexpr double report_bound = 2.0;
// Fraction of the sustained concurrency below which a reported value is not believed.
constexpr double proven_part = 0.5;
constexpr double proven_decay = 0.99;
constexpr double proven_doubt = 0.8;
// Minimum number of finished calls in a window for its sample to be significant.
constexpr std::uint32_t least_finished = 10;
constexpr double unsaturated_smoothing = 0.1;

double full_limit(const limit_state& state, const limit_settings& settings,
                  const limit_sample& sample) {
  const double slots = settings.slots;
  if (sample.reported_slots == 0) {
    return slots;
  }
  // Reported slots may be too low as well as too high.
  const double least = std::min(slots, state.proven * proven_part);
  return std::clamp<double>(sample.reported_slots, least, slots * report_bound);
}

void learn_proven(limit_state& state, const limit_sample& sample, bool slow) {
  state.proven *= slow ? proven_doubt : proven_decay;
  if (!slow && sample.finished >= least_finished) {
    state.proven = std::max<double>(state.proven, sample.peak_in_flight);
  }
}

double rate_of(const limit_sample& sample) {
  const double seconds = std::chrono::duration<double>(sample.window).count();
  return seconds <= 0.0 ? 0.0 : sample.finished / seconds;
}

void learn_service_time(limit_state& state, double mean_us, bool saturated) {
  if (state.unsaturated_us == 0.0 || (mean_us < state.unsaturated_us)) {
    state.unsaturated_us = mean_us;
    return;
  }
  if (!saturated) {
    state.unsaturated_us += unsaturated_smoothing * (mean_us - state.unsaturated_us);
  }
}

// Ends a probe: keeps the lower limit or restores the previous one.
void judge_trial(limit_state& state, const limit_sample& sample, double mean_us) {
  state.on_trial = false;
  if (rate_of(sample) >= held_rate * state.rate_before) {
    return;
  }
  state.observed = state.limit_before;
  state.pause = failed_trial_pause;
  state.unsaturated_us = mean_us;
}

void start_trial(limit_state& state, const limit_sample& sample) {
  state.on_trial = true;
  state.rate_before = rate_of(sample);
  state.limit_before = state.observed;
  state.observed = std::max(1.0, state.observed * trial_part);
}

void observe(limit_state& state, const limit_sample& sample, double full) {
  if (sample.backend_sheds > 0) {
    state.on_trial = false;
    state.observed =
        std::max(1.0, std::min<double>(state.observed, sample.peak_in_flight) * shed_part);
    state.pause = failed_trial_pause;
    return;
  }
  if (sample.finished < least_finished) {
    state.observed = std::min(full, state.observed * (1.0 + regain_part));
    return;
  }
  const double mean_us = static_cast<double>(sample.service_sum_us) / sample.finished;
  const bool saturated = sample.peak_in_flight >= saturated_part * state.observed;
  if (state.on_trial) {
    judge_trial(state, sample, mean_us);
    return;
  }
  const bool slow =
      state.unsaturated_us > 0.0 && mean_us > suspicious_slowness * state.unsaturated_us;
  learn_service_time(state, mean_us, saturated);
  learn_proven(state, sample, slow);
  state.pause -= std::min<std::uint32_t>(state.pause, 1);
  if (saturated && slow && state.pause == 0) {
    start_trial(state, sample);
    return;
  }
  if (!slow && saturated) {
    state.observed = std::min(full, state.observed * (1.0 + regain_part));
  }
}

} // namespace

double slow_start_part(support::duration since_ready, support::duration slow_start) {
  if (since_ready >= slow_start || slow_start.count() <= 0) {
    return 1.0;
  }
  const double part =
      static_cast<double>(since_ready.count()) / static_cast<double>(slow_start.count());
  return first_part + (1.0 - first_part) * std::clamp(part, 0.0, 1.0);
}

std::uint32_t update_limit(limit_state& state, const limit_settings& settings,
                           const limit_sample& sample, support::time_point now) {
  if (!settings.learns) {
    const double slots = sample.reported_slots != 0 ? sample.reported_slots : settings.slots;
    return static_cast<std::uint32_t>(std::max(1.0, std::floor(slots * settings.slot_use)));
  }
  const double full = full_limit(state, settings, sample) * settings.slot_use;
  if (state.observed <= 0.0) {
    state.observed = full;
  }
  state.observed = std::min(state.observed, full);
  observe(state, sample, full);
  const double part = slow_start_part(now - state.ready_since, settings.slow_start);
  return static_cast<std::uint32_t>(std::max(1.0, std::round(state.observed * part)));
}

limit_sample take_limit_sample(gate& state, std::uint32_t reported_slots,
                               std::uint32_t backend_sheds, support::duration window) {
  limit_sample sample;
  sample.reported_slots = reported_slots;
  sample.backend_sheds = backend_sheds;
  sample.window = window;
  sample.peak_in_flight = state.peak_in_flight.exchange(state.in_flight.load(relaxed), relaxed);
  sample.finished = state.window_finished.exchange(0, relaxed);
  sample.service_sum_us = state.service_sum_us.exchange(0, relaxed);
  sample.waiting = state.waiting.load(relaxed) > 0;
  return sample;
}

} // namespace acaciasill::decide

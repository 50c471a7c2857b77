#include "acaciasill/decide/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace acaciasill::decide {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
constexpr double slow_start_initial_fraction = 0.1;
// Utilisation of the limit from which the server is considered saturated.
constexpr double saturation_fraction = 0.9;
// Ratio of the service time to its unsaturated value above which the server is considered slow.
constexpr double slow_service_ratio = 1.5;
// Factor by which a probe lowers the limit.
constexpr double probe_limit_fraction = 0.8;
// Fraction of the completion rate that has to remain for a probe's lower limit to be kept.
constexpr double min_probe_rate_fraction = 0.93;
// Factor for the limit of a server that refuses calls itself.
constexpr double backend_shed_factor = 0.9;
// Fraction by which the limit is raised in a window without signs of slowness.
constexpr double recovery_fraction = 0.05;
// Windows between a failed probe and the next one.
constexpr std::uint32_t failed_probe_pause_windows = 10;
// Maximum ratio of reported to configured slots that is accepted.
constexpr double max_report_ratio = 2.0;
// Fraction of the sustained concurrency below which a reported value is not accepted.
constexpr double min_sustained_fraction = 0.5;
constexpr double sustained_decay = 0.99;
constexpr double sustained_decay_when_slow = 0.8;
// Minimum number of finished calls in a window for its sample to be significant.
constexpr std::uint32_t min_finished_calls = 10;
constexpr double unsaturated_service_smoothing = 0.1;

double full_limit(const limit_state& state, const limit_settings& settings,
                  const limit_sample& sample) {
  const double slots = settings.slots;
  if (sample.reported_slots == 0) {
    return slots;
  }
  // Reported slots may be too low as well as too high.
  const double min_slots = std::min(slots, state.sustained_in_flight * min_sustained_fraction);
  return std::clamp<double>(sample.reported_slots, min_slots, slots * max_report_ratio);
}

void update_sustained(limit_state& state, const limit_sample& sample, bool slow) {
  state.sustained_in_flight *= slow ? sustained_decay_when_slow : sustained_decay;
  if (!slow && sample.finished >= min_finished_calls) {
    state.sustained_in_flight = std::max<double>(state.sustained_in_flight, sample.peak_in_flight);
  }
}

double rate_of(const limit_sample& sample) {
  const double seconds = std::chrono::duration<double>(sample.window).count();
  return seconds <= 0.0 ? 0.0 : sample.finished / seconds;
}

void update_unsaturated_service(limit_state& state, double mean_us, bool saturated) {
  if (state.unsaturated_service_us == 0.0 || (mean_us < state.unsaturated_service_us)) {
    state.unsaturated_service_us = mean_us;
    return;
  }
  if (!saturated) {
    state.unsaturated_service_us +=
        unsaturated_service_smoothing * (mean_us - state.unsaturated_service_us);
  }
}

// Ends a probe: keeps the lower limit or restores the previous one.
void finish_probe(limit_state& state, const limit_sample& sample, double mean_us) {
  state.probing = false;
  if (rate_of(sample) >= min_probe_rate_fraction * state.rate_before_probe) {
    return;
  }
  state.learned_limit = state.limit_before_probe;
  state.windows_until_probe = failed_probe_pause_windows;
  state.unsaturated_service_us = mean_us;
}

void start_probe(limit_state& state, const limit_sample& sample) {
  state.probing = true;
  state.rate_before_probe = rate_of(sample);
  state.limit_before_probe = state.learned_limit;
  state.learned_limit = std::max(1.0, state.learned_limit * probe_limit_fraction);
}

void update_learned_limit(limit_state& state, const limit_sample& sample, double full) {
  if (sample.backend_sheds > 0) {
    state.probing = false;
    state.learned_limit = std::max(
        1.0, std::min<double>(state.learned_limit, sample.peak_in_flight) * backend_shed_factor);
    state.windows_until_probe = failed_probe_pause_windows;
    return;
  }
  if (sample.finished < min_finished_calls) {
    state.learned_limit = std::min(full, state.learned_limit * (1.0 + recovery_fraction));
    return;
  }
  const double mean_us = static_cast<double>(sample.service_sum_us) / sample.finished;
  const bool saturated = sample.peak_in_flight >= saturation_fraction * state.learned_limit;
  if (state.probing) {
    finish_probe(state, sample, mean_us);
    return;
  }
  const bool slow = state.unsaturated_service_us > 0.0 &&
                    mean_us > slow_service_ratio * state.unsaturated_service_us;
  update_unsaturated_service(state, mean_us, saturated);
  update_sustained(state, sample, slow);
  state.windows_until_probe -= std::min<std::uint32_t>(state.windows_until_probe, 1);
  if (saturated && slow && state.windows_until_probe == 0) {
    start_probe(state, sample);
    return;
  }
  if (!slow && saturated) {
    state.learned_limit = std::min(full, state.learned_limit * (1.0 + recovery_fraction));
  }
}

} // namespace

double slow_start_fraction(support::duration since_ready, support::duration slow_start) {
  if (since_ready >= slow_start || slow_start.count() <= 0) {
    return 1.0;
  }
  const double part =
      static_cast<double>(since_ready.count()) / static_cast<double>(slow_start.count());
  return slow_start_initial_fraction +
         (1.0 - slow_start_initial_fraction) * std::clamp(part, 0.0, 1.0);
}

std::uint32_t update_limit(limit_state& state, const limit_settings& settings,
                           const limit_sample& sample, support::time_point now) {
  if (!settings.adaptive) {
    const double slots = sample.reported_slots != 0 ? sample.reported_slots : settings.slots;
    return static_cast<std::uint32_t>(std::max(1.0, std::floor(slots * settings.slot_use)));
  }
  const double full = full_limit(state, settings, sample) * settings.slot_use;
  if (state.learned_limit <= 0.0) {
    state.learned_limit = full;
  }
  state.learned_limit = std::min(state.learned_limit, full);
  update_learned_limit(state, sample, full);
  const double part = slow_start_fraction(now - state.ready_since, settings.slow_start);
  return static_cast<std::uint32_t>(std::max(1.0, std::round(state.learned_limit * part)));
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

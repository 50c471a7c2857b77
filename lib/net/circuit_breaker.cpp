#include "acaciasill/net/circuit_breaker.h"

#include <algorithm>

namespace acaciasill::net {
namespace {

constexpr std::uint32_t max_doublings = 20;

} // namespace

bool allow_request(breaker_state& state, support::time_point now) {
  if (!state.open) {
    return true;
  }
  if (state.trial_in_flight || now < state.open_until) {
    return false;
  }
  state.trial_in_flight = true;
  return true;
}

void on_success(breaker_state& state) {
  state = breaker_state{};
}

void on_failure(breaker_state& state, const breaker_settings& settings, support::time_point now,
                support::random_source& random) {
  ++state.consecutive_failures;
  if (state.open && !state.trial_in_flight) {
    return; // The request started before the breaker opened.
  }
  if (!state.open && state.consecutive_failures < settings.failure_threshold) {
    return;
  }
  state.open_duration =
      state.open ? std::min(state.open_duration * 2, settings.max_open) : settings.min_open;
  state.open = true;
  state.trial_in_flight = false;
  state.open_until = now + support::jittered(state.open_duration, random);
}

support::duration full_jitter(support::milliseconds base, support::milliseconds cap,
                              std::uint32_t attempt, support::random_source& random) {
  const std::uint64_t factor = std::uint64_t{1} << std::min(attempt, max_doublings);
  const auto limit = std::min(cap, base * static_cast<std::int64_t>(factor));
  const double fraction = support::uniform_unit(random);
  return std::chrono::duration_cast<support::duration>(limit * fraction);
}

} // namespace acaciasill::net

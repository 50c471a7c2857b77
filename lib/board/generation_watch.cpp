#include "acaciasill/board/generation_watch.h"

namespace acaciasill::board {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;

} // namespace

void record_peer_generation(generation_watch& watch, std::uint64_t generation) {
  auto before = watch.highest_seen.load(relaxed);
  while (generation > before &&
         !watch.highest_seen.compare_exchange_weak(before, generation, relaxed)) {
  }
}

bool should_request_configuration(const generation_watch& watch, generation_lag& lag,
                                  support::time_point now) {
  if (watch.highest_seen.load(relaxed) <= watch.in_force.load(relaxed)) {
    lag = {};
    return false;
  }
  if (!lag.since) {
    lag.since = now;
  }
  if (now - *lag.since < generation_lag_tolerance ||
      (lag.last_requested && now - *lag.last_requested < configuration_request_interval)) {
    return false;
  }
  lag.last_requested = now;
  return true;
}

} // namespace acaciasill::board

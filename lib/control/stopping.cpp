#include "acaciasill/control/stopping.h"

#include <algorithm>

namespace acaciasill::control {

shutdown_phase next_shutdown_phase(const stop_limits& limits, support::duration elapsed,
                                   support::duration since_request, std::uint64_t calls_in_flight) {
  const bool is_idle = calls_in_flight == 0 && since_request > idle_period;
  if (elapsed > limits.total - kill_margin || (elapsed > limits.notice && is_idle)) {
    return shutdown_phase::finished;
  }
  const auto accept_limit = std::min<support::duration>(accept_period, limits.total / 2);
  return elapsed > accept_limit ? shutdown_phase::refuses_requests
                                : shutdown_phase::accepts_requests;
}

} // namespace acaciasill::control

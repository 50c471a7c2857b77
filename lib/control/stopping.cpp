#include "acaciasill/control/stopping.h"

#include <algorithm>

namespace acaciasill::control {

stop_step next_stop_step(const stop_limits& limits, support::duration elapsed,
                         support::duration since_request, std::uint64_t calls_in_flight) {
  const bool quiet = calls_in_flight == 0 && since_request > quiet_time;
  if (elapsed > limits.total - stop_margin || (elapsed > limits.notice && quiet)) {
    return stop_step::ends;
  }
  const auto last_work = std::min<support::duration>(last_work_time, limits.total / 2);
  return elapsed > last_work ? stop_step::refuses_callers : stop_step::takes_callers;
}

} // namespace acaciasill::control

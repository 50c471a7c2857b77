#include "acaciasill/net/load_schedule.h"

#include <algorithm>
#include <cmath>

namespace acaciasill::net {
namespace {

using support::duration;

constexpr double nanoseconds_per_second = 1e9;

double phase_rate(const load_phase& phase, const load_class& call_class) {
  for (const auto& rate : phase.rates) {
    if (rate.name == call_class.name) {
      return rate.rate;
    }
  }
  return call_class.rate;
}

duration draw_interarrival_time(double rate, arrival_spacing spacing,
                                support::random_source& random) {
  const double mean = nanoseconds_per_second / rate;
  if (spacing == arrival_spacing::uniform) {
    return duration(static_cast<std::int64_t>(mean));
  }
  return duration(static_cast<std::int64_t>(-std::log(1.0 - support::uniform_unit(random)) * mean));
}

} // namespace

std::vector<rate_span> class_schedule(const load_plan& plan, const load_class& call_class,
                                      std::uint32_t thread_count) {
  std::vector<rate_span> schedule;
  duration begin{0};
  for (const auto& phase : plan.phases) {
    const duration end = begin + phase.length;
    schedule.push_back({begin, end, phase_rate(phase, call_class) / thread_count});
    begin = end;
  }
  return schedule;
}

std::optional<duration> next_arrival(const std::vector<rate_span>& schedule,
                                     arrival_spacing spacing, duration after,
                                     support::random_source& random) {
  for (const auto& span : schedule) {
    if (after >= span.end || span.rate <= 0.0) {
      continue;
    }
    // An interarrival time that ends after the span is drawn again from the beginning of the next
    // span. A Poisson process is memoryless, so its distribution stays exact.
    const auto moment =
        std::max(after, span.begin) + draw_interarrival_time(span.rate, spacing, random);
    if (moment < span.end) {
      return moment;
    }
    after = span.end;
  }
  return std::nullopt;
}

std::size_t phase_at(const load_plan& plan, duration moment) {
  duration end{0};
  for (std::size_t index = 0; index < plan.phases.size(); ++index) {
    end += plan.phases[index].length;
    if (moment < end) {
      return index;
    }
  }
  return plan.phases.size() - 1;
}

} // namespace acaciasill::net

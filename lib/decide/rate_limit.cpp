#include "acaciasill/decide/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace acaciasill::decide {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
constexpr double nanoseconds_per_second = 1e9;
constexpr std::int64_t burst_ns = support::nanoseconds(rate_burst).count();

std::int64_t nanoseconds_of(support::time_point now) {
  return support::nanoseconds(now.time_since_epoch()).count();
}

// Returns the interval between calls; 0 for a rate at which calls need not be spaced.
std::int64_t interval_of(double calls_per_s) {
  return static_cast<std::int64_t>(nanoseconds_per_second /
                                   std::max(calls_per_s, min_enforced_rate));
}

bool set_interval(rate_limiter& limiter, std::int64_t interval_ns, support::time_point now) {
  const auto before = limiter.interval_ns.exchange(interval_ns, relaxed);
  if (before > interval_ns) {
    // A permit taken at a lower rate does not delay the next one beyond the present rate.
    const auto latest = nanoseconds_of(now) + interval_ns;
    auto next = limiter.next_start_ns.load(relaxed);
    while (next > latest && !limiter.next_start_ns.compare_exchange_weak(next, latest, relaxed)) {
    }
  }
  return before != interval_ns;
}

} // namespace

bool record_stated_rate(rate_limiter& limiter, double calls_per_s, support::time_point now) {
  limiter.heard_server.store(true, relaxed);
  if (std::isfinite(calls_per_s)) {
    limiter.unlimited_answers.store(0, relaxed);
    return set_interval(limiter, interval_of(calls_per_s), now);
  }
  if (limiter.interval_ns.load(relaxed) == 0) {
    return false;
  }
  const auto answers = limiter.unlimited_answers.fetch_add(1, relaxed) + 1;
  return answers >= answers_until_unlimited && set_interval(limiter, 0, now);
}

bool record_relayed_rate(rate_limiter& limiter, double calls_per_s, support::time_point now) {
  if (limiter.heard_server.load(relaxed) || !std::isfinite(calls_per_s)) {
    return false;
  }
  return set_interval(limiter, interval_of(calls_per_s), now);
}

void reset_rate(rate_limiter& limiter) {
  limiter.interval_ns.store(0, relaxed);
  limiter.unlimited_answers.store(0, relaxed);
  limiter.heard_server.store(false, relaxed);
}

double rate_in_force(const rate_limiter& limiter) {
  const auto interval_ns = limiter.interval_ns.load(relaxed);
  return interval_ns == 0 ? unlimited_rate
                          : nanoseconds_per_second / static_cast<double>(interval_ns);
}

bool take_permit(rate_limiter& limiter, support::time_point now) {
  const auto now_ns = nanoseconds_of(now);
  auto next = limiter.next_start_ns.load(relaxed);
  while (true) {
    const auto interval = limiter.interval_ns.load(relaxed);
    if (interval == 0) {
      return true;
    }
    if (next - now_ns > burst_ns) {
      return false;
    }
    if (limiter.next_start_ns.compare_exchange_weak(next, std::max(next, now_ns) + interval,
                                                    relaxed)) {
      return true;
    }
  }
}

std::optional<support::time_point> next_permit_time(const rate_limiter& limiter,
                                                    support::time_point now) {
  const auto earliest = limiter.next_start_ns.load(relaxed) - burst_ns;
  if (limiter.interval_ns.load(relaxed) == 0 || earliest <= nanoseconds_of(now)) {
    return std::nullopt;
  }
  return support::time_point(support::nanoseconds(earliest));
}

} // namespace acaciasill::decide

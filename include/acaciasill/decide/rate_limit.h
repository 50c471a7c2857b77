#ifndef ACACIASILL_DECIDE_RATE_LIMIT_H
#define ACACIASILL_DECIDE_RATE_LIMIT_H

#include <atomic>
#include <cstdint>
#include <limits>
#include <optional>

#include "acaciasill/support/time.h"

// Limit on the rate of calls that a backend server states about itself. The daemon beside the
// server enforces it for all daemons, since every call to the server passes through its gate.
namespace acaciasill::decide {

// Rate, in calls per second, of a server that states no limit.
inline constexpr double unlimited_rate = std::numeric_limits<double>::infinity();

// Lowest rate enforced, in calls per second. A lower one would delay the answer by which the server
// states that the limit has ended.
inline constexpr double min_enforced_rate = 0.5;

// Time by which calls may run ahead of an even spacing, so that a burst need not wait.
inline constexpr support::milliseconds rate_burst{100};

// Number of consecutive answers without a limit after which it has ended. Answers on different
// connections may be processed out of order.
inline constexpr std::uint32_t answers_until_unlimited = 3;

// The limit in force and the calls started under it. All members are atomics; statements and
// permits may come from any thread.
struct rate_limiter {
  // Time between two calls in nanoseconds; 0 if there is no limit.
  std::atomic<std::int64_t> interval_ns{0};
  // Start of the next call at an even spacing, in nanoseconds of the time passed in.
  std::atomic<std::int64_t> next_start_ns{0};
  // Consecutive answers without a limit.
  std::atomic<std::uint32_t> unlimited_answers{0};
  // True once an answer of the server has been processed.
  std::atomic<bool> heard_server{false};
};

// Processes the rate that an answer of the server states, unlimited_rate if it states none. Returns
// true if the limit in force changes.
bool record_stated_rate(rate_limiter& limiter, double calls_per_s, support::time_point now);

// Processes the rate that another daemon has learned from the server's answers. It counts only
// until an answer of the server has been processed here, so that a restarted daemon knows the limit
// before its first call. Returns true if the limit in force changes.
bool record_relayed_rate(rate_limiter& limiter, double calls_per_s, support::time_point now);

// Removes the limit, for a new instance of the server.
void reset_rate(rate_limiter& limiter);

// Returns the limit in force in calls per second.
double rate_in_force(const rate_limiter& limiter);

// Takes the permit for one call to start now; returns false if the limit does not allow it.
bool take_permit(rate_limiter& limiter, support::time_point now);

// Returns the time from which the next permit is available; nullopt if it is available now.
std::optional<support::time_point> next_permit_time(const rate_limiter& limiter,
                                                    support::time_point now);

} // namespace acaciasill::decide

#endif

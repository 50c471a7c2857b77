#include "acaciasill/decide/retry.h"

#include <algorithm>

namespace acaciasill::decide {

namespace {

using support::result_code;
constexpr auto relaxed = std::memory_order_relaxed;
constexpr std::int32_t tokens_per_retry = 1000;
// Unused tokens accumulate up to this number of retries, or up to what this time earns at the
// highest recent rate.
constexpr std::int32_t max_tokens = 10 * tokens_per_retry;
constexpr std::uint32_t max_saved_ms = 500;
// Half-life of tokens beyond one retry.
constexpr std::uint32_t half_life_ms = 1000;
constexpr std::uint32_t milliseconds_per_second = 1000;
// Interval of refills, and the longest time that one refill accounts for.
constexpr std::uint32_t refill_interval_ms = 100;
constexpr std::uint32_t max_refill_ms = 1000;
// Length of the windows over which the rate of earning is determined. The latest window and the one
// that ends half a window earlier count.
constexpr std::uint32_t window_s = 10;
constexpr std::uint32_t window_ms = window_s * milliseconds_per_second;
constexpr support::milliseconds backoff_base{10};
constexpr support::milliseconds max_backoff{500};
constexpr std::uint32_t max_exponent = 10;

std::uint32_t milliseconds_of(support::time_point now) {
  return static_cast<std::uint32_t>(support::whole_milliseconds(now.time_since_epoch()));
}

// Decays unused tokens. One caller wins each decay step.
void decay(retry_tokens& tokens, support::time_point now) {
  const auto stamp = milliseconds_of(now);
  auto last = tokens.decayed_ms.load(relaxed);
  const auto age = stamp - last;
  if (age < half_life_ms || age > std::uint32_t{1} << 31U) {
    return;
  }
  if (!tokens.decayed_ms.compare_exchange_strong(last, stamp, relaxed)) {
    return;
  }
  const auto halvings = std::min<std::uint32_t>(age / half_life_ms, max_exponent);
  auto before = tokens.thousandths.load(relaxed);
  while (before > tokens_per_retry) {
    const auto after = tokens_per_retry + ((before - tokens_per_retry) >> halvings);
    if (tokens.thousandths.compare_exchange_weak(before, after, relaxed)) {
      return;
    }
  }
}

// A refusal that is not related to load: the call may be retried at another upstream without using
// the budget.
bool is_free_retry(result_code code) {
  return code == result_code::draining || code == result_code::not_ready ||
         code == result_code::peer_unreachable || code == result_code::backend_unreachable;
}

// A failure for which another attempt may succeed.
bool is_transient(result_code code) {
  switch (code) {
  case result_code::backend_failed:
  case result_code::backend_shed:
  case result_code::backend_replaced:
  case result_code::backend_unreachable:
  case result_code::peer_lost:
  case result_code::peer_stalled:
  case result_code::peer_mismatch:
  case result_code::peer_unreachable:
  case result_code::outcome_unknown:
  case result_code::internal_error:
    return true;
  default:
    return false;
  }
}

void add_tokens(retry_tokens& tokens, std::int32_t added, std::int32_t maximum) {
  auto before = tokens.thousandths.load(relaxed);
  while (before < maximum) {
    const auto after = std::min(maximum, before + added);
    if (tokens.thousandths.compare_exchange_weak(before, after, relaxed)) {
      return;
    }
  }
}

void record_earned(retry_tokens& tokens, std::uint32_t amount, std::uint32_t second) {
  auto& cell = tokens.earned[second % earned_seconds];
  auto before = cell.load(relaxed);
  while (true) {
    const auto present = static_cast<std::uint32_t>(before >> 32U) == second
                             ? static_cast<std::uint32_t>(before)
                             : std::uint32_t{0};
    const auto after = (std::uint64_t{second} << 32U) | (present + amount);
    if (cell.compare_exchange_weak(before, after, relaxed)) {
      return;
    }
  }
}

// Returns the thousandths earned in the window that ends before the given second.
std::uint32_t earned_in_window(const retry_tokens& tokens, std::uint32_t end) {
  std::uint32_t sum = 0;
  for (std::uint32_t second = end - window_s; second != end; ++second) {
    const auto cell = tokens.earned[second % earned_seconds].load(relaxed);
    if (static_cast<std::uint32_t>(cell >> 32U) == second) {
      sum += static_cast<std::uint32_t>(cell);
    }
  }
  return sum;
}

// Adds the tokens by which fewer have been earned since the last refill than at the highest recent
// rate. One caller wins each refill.
void refill(retry_tokens& tokens, support::time_point now) {
  const auto stamp = milliseconds_of(now);
  auto last = tokens.refilled_ms.load(relaxed);
  const auto age = stamp - last;
  if (age < refill_interval_ms || age > std::uint32_t{1} << 31U ||
      !tokens.refilled_ms.compare_exchange_strong(last, stamp, relaxed)) {
    return;
  }
  const auto second = stamp / milliseconds_per_second;
  const auto highest =
      std::max(earned_in_window(tokens, second), earned_in_window(tokens, second - window_s / 2));
  const auto due = std::uint64_t{highest} * std::min(age, max_refill_ms) / window_ms;
  const auto earned = tokens.earned_since_refill.exchange(0, relaxed);
  const auto saved = std::uint64_t{highest} * max_saved_ms / window_ms;
  const auto maximum = static_cast<std::int32_t>(std::max<std::uint64_t>(max_tokens, saved));
  tokens.maximum.store(maximum, relaxed);
  if (due > earned) {
    add_tokens(tokens, static_cast<std::int32_t>(due - earned), maximum);
  }
}

// Returns true if a more urgent retry has been refused for lack of tokens a short time ago.
bool is_held_back(const retry_tokens& tokens, retry_urgency urgency, std::uint32_t stamp) {
  const auto denied = tokens.denied.load(relaxed);
  return denied != 0 && static_cast<retry_urgency>(denied) < urgency &&
         stamp - static_cast<std::uint32_t>(denied >> 32U) < denial_memory.count();
}

void record_denied(retry_tokens& tokens, retry_urgency urgency, std::uint32_t stamp) {
  if (!is_held_back(tokens, urgency, stamp)) {
    tokens.denied.store((std::uint64_t{stamp} << 32U) | urgency, relaxed);
  }
}

retry_decision deny(retry_decision::reason why) {
  return {false, false, {}, why};
}

} // namespace

bool is_overload(result_code code) {
  switch (code) {
  case result_code::shed_at_entry:
  case result_code::shed_at_upstream:
  case result_code::queue_full:
  case result_code::queue_timeout:
  case result_code::share_exceeded:
    return true;
  default:
    return false;
  }
}

std::uint32_t held_attempts(const attempt_budget& budget) {
  return static_cast<std::uint32_t>(budget.state.load(relaxed));
}

std::uint32_t budget_epoch(const attempt_budget& budget) {
  return static_cast<std::uint32_t>(budget.state.load(relaxed) >> 32U);
}

void reset_budget(attempt_budget& budget, std::uint32_t attempts) {
  const auto epoch = std::uint64_t{budget_epoch(budget)} + 1;
  budget.state.store((epoch << 32U) | attempts, relaxed);
}

std::uint32_t take_attempts(attempt_budget& budget, std::uint32_t max_attempts) {
  auto state = budget.state.load(relaxed);
  while (true) {
    const auto taken = std::min(static_cast<std::uint32_t>(state), max_attempts);
    if (budget.state.compare_exchange_weak(state, state - taken, relaxed)) {
      return taken;
    }
  }
}

bool add_attempts(attempt_budget& budget, std::uint32_t epoch, std::uint32_t attempts) {
  auto state = budget.state.load(relaxed);
  while (static_cast<std::uint32_t>(state >> 32U) == epoch) {
    if (budget.state.compare_exchange_weak(state, state + attempts, relaxed)) {
      return true;
    }
  }
  return false;
}

bool spend_attempt(attempt_budget& budget) {
  return take_attempts(budget, 1) == 1;
}

void restore_attempt(attempt_budget& budget) {
  add_attempts(budget, budget_epoch(budget), 1);
}

std::uint32_t lend_attempts(attempt_budget& budget) {
  auto state = budget.state.load(relaxed);
  while (true) {
    const auto held = static_cast<std::uint32_t>(state);
    const auto lent = std::max(std::min(held, 1U), held - std::min(held, 1U));
    if (lent == 0 || budget.state.compare_exchange_weak(state, state - lent, relaxed)) {
      return lent;
    }
  }
}

std::uint32_t return_attempts(attempt_budget& budget, std::uint32_t lent, std::uint32_t unused,
                              std::uint32_t epoch) {
  const auto returned = std::min(lent, unused);
  return add_attempts(budget, epoch, returned) ? returned : 0;
}

void earn_retry(retry_tokens& tokens, double ratio, support::time_point now) {
  decay(tokens, now);
  const auto earned = static_cast<std::uint32_t>(ratio * tokens_per_retry);
  record_earned(tokens, earned, milliseconds_of(now) / milliseconds_per_second);
  tokens.earned_since_refill.fetch_add(earned, relaxed);
  add_tokens(tokens, static_cast<std::int32_t>(earned), tokens.maximum.load(relaxed));
}

bool take_retry(retry_tokens& tokens, support::time_point now, retry_urgency urgency) {
  decay(tokens, now);
  refill(tokens, now);
  const auto stamp = milliseconds_of(now);
  if (is_held_back(tokens, urgency, stamp)) {
    return false;
  }
  auto before = tokens.thousandths.load(relaxed);
  while (before >= tokens_per_retry) {
    if (tokens.thousandths.compare_exchange_weak(before, before - tokens_per_retry, relaxed)) {
      return true;
    }
  }
  record_denied(tokens, urgency, stamp);
  return false;
}

support::duration backoff_delay(std::uint32_t retry, support::random_source& random) {
  const auto factor = std::int64_t{1} << std::min(retry, max_exponent);
  const support::duration max_delay =
      std::min<support::duration>(max_backoff, backoff_base * factor);
  const double part = support::uniform_unit(random) * static_cast<double>(max_delay.count());
  return support::duration(static_cast<std::int64_t>(part));
}

retry_decision may_retry(attempt_budget& budget, retry_tokens& tokens, const failed_attempt& failed,
                         support::time_point now, support::random_source& random) {
  using reason = retry_decision::reason;
  if (!failed.not_run && !failed.idempotent) {
    return deny(reason::may_have_run);
  }
  if (failed.overloaded_below || is_overload(failed.code)) {
    return deny(reason::overloaded);
  }
  if (!failed.next_to_failure) {
    return deny(reason::not_next_to_failure);
  }
  if (failed.tried >= failed.subset_size) {
    return deny(reason::no_upstream);
  }
  if (failed.not_run && is_free_retry(failed.code)) {
    const bool in_time = now + failed.expected_service_time < failed.deadline;
    return in_time ? retry_decision{true, false, {}, reason::none} : deny(reason::no_time);
  }
  if (!is_transient(failed.code)) {
    return deny(reason::permanent);
  }
  const auto delay = backoff_delay(failed.retries, random);
  if (now + delay + failed.expected_service_time >= failed.deadline) {
    return deny(reason::no_time);
  }
  if (!spend_attempt(budget)) {
    return deny(reason::no_budget);
  }
  if (!take_retry(tokens, now, failed.urgency)) {
    restore_attempt(budget);
    return deny(reason::no_token);
  }
  return {true, true, delay, reason::none};
}

} // namespace acaciasill::decide

#ifndef ACACIASILL_DECIDE_RETRY_H
#define ACACIASILL_DECIDE_RETRY_H

#include <array>
#include <atomic>
#include <cstdint>

#include "acaciasill/support/random.h"
#include "acaciasill/support/result_code.h"
#include "acaciasill/support/time.h"

// Retries: a budget per request that is conserved even if replies are lost, a retry ratio per
// caller and destination, and the rules for which hop may retry which failure.
namespace acaciasill::decide {

// Attempts beyond the first that a daemon holds for one request. Attempts lent to a child call are
// subtracted and come back only with the unused part in the child's reply, so that a lost reply
// spends them.
struct attempt_budget {
  attempt_budget() = default;
  explicit attempt_budget(std::uint32_t initial_attempts) : state(initial_attempts) {}

  // Epoch in the high half and attempts held in the low half. A table that reuses a budget for
  // another request increments the epoch, so that a late return is recognised.
  std::atomic<std::uint64_t> state{0};
};

// Returns the number of attempts held.
std::uint32_t held_attempts(const attempt_budget& budget);

std::uint32_t budget_epoch(const attempt_budget& budget);

// Begins a new epoch with this many attempts.
void reset_budget(attempt_budget& budget, std::uint32_t attempts);

// Takes at most this many attempts out of the budget; returns the number taken.
std::uint32_t take_attempts(attempt_budget& budget, std::uint32_t max_attempts);

// Adds attempts if the epoch is current; returns false if it has ended, and the attempts then count
// as spent.
bool add_attempts(attempt_budget& budget, std::uint32_t epoch, std::uint32_t attempts);

// Takes one attempt out; returns false if none is left.
bool spend_attempt(attempt_budget& budget);

// Returns one attempt that was taken but not sent.
void restore_attempt(attempt_budget& budget);

// Takes out the attempts to lend to the next child call: all but one, so that most are available at
// the hop next to the failure however deep it is, and the last one if no more is held. A call to a
// service that is declared to make no calls needs none, since no hop below could use them.
std::uint32_t lend_attempts(attempt_budget& budget);

// Returns attempts that a child's reply reports as unused, at most the number lent, and returns the
// number added. To be called once per reply, with the epoch of the loan, and never for a lost
// reply.
std::uint32_t return_attempts(attempt_budget& budget, std::uint32_t lent, std::uint32_t unused,
                              std::uint32_t epoch = 0);

// Number of seconds of which the tokens earned are remembered.
inline constexpr std::uint32_t earned_seconds = 16;

// Token bucket for the retry ratio of one caller and one destination: every first attempt earns a
// fraction of a retry. Where first attempts become fewer, e.g. because requests end early during a
// failure, tokens accumulate for some seconds at the rate at which they were earned before.
struct retry_tokens {
  // Tokens in thousandths of a retry; initially one retry.
  std::atomic<std::int32_t> thousandths{1000};
  // Time of the last decay, in milliseconds.
  std::atomic<std::uint32_t> decayed_ms{0};
  // Thousandths earned in each of the last seconds: the second in the high half, and the amount in
  // the low half.
  std::array<std::atomic<std::uint64_t>, earned_seconds> earned{};
  // Time of the last refill, in milliseconds.
  std::atomic<std::uint32_t> refilled_ms{0};
  // Thousandths up to which unused tokens accumulate.
  std::atomic<std::int32_t> maximum{10000};
  // Thousandths earned since the last refill.
  std::atomic<std::uint32_t> earned_since_refill{0};
  // Latest refusal of a retry for lack of tokens: its time in milliseconds in the high half, and
  // the urgency of the retry in the low half; 0 if there was none.
  std::atomic<std::uint64_t> denied{0};
};

// Urgency of a retry; a smaller value is more urgent.
using retry_urgency = std::uint32_t;

// Returns the urgency of a retry for a request of this rank: retries of more important requests go
// first, then those of requests for which calls have completed already, since fewer attempts
// complete them and more work is lost if they fail.
constexpr retry_urgency urgency_of(std::uint8_t rank, bool has_completed_calls) {
  return rank * 2U + (has_completed_calls ? 0U : 1U);
}

// Time for which a retry that is refused for lack of tokens holds back less urgent ones.
inline constexpr support::milliseconds denial_memory{300};

// Adds tokens for a first attempt. The ratio is limits::retry_ratio.
void earn_retry(retry_tokens& tokens, double ratio, support::time_point now);

// Takes the tokens of one retry; returns false if there are not enough, or if a more urgent retry
// has been refused within denial_memory.
bool take_retry(retry_tokens& tokens, support::time_point now, retry_urgency urgency = 0);

// Facts about a failed attempt and its call.
struct failed_attempt {
  // True if the call has not run, according to the reply or because the connection was refused.
  bool not_run = false;
  support::result_code code = support::result_code::internal_error;
  // True if the destination itself failed, and not a call that it made.
  bool next_to_failure = true;
  bool overloaded_below = false;
  bool idempotent = true;
  // Upstreams tried so far including this one, and size of the subset.
  std::uint32_t tried = 1;
  std::uint32_t subset_size = 1;
  // Retries of this call so far that used the budget.
  std::uint32_t retries = 0;
  retry_urgency urgency = 0;
  support::time_point deadline{};
  support::duration expected_service_time{};

  bool operator==(const failed_attempt&) const = default;
};

// Decision about a failed attempt.
struct retry_decision {
  bool retry = false;
  // True if the retry took an attempt of the budget and a token. A free retry at another upstream
  // takes neither.
  bool uses_budget = false;
  // Delay before the retry.
  support::duration delay{};
  // Reason for not retrying.
  enum class reason : std::uint8_t {
    none,
    may_have_run,
    overloaded,
    not_next_to_failure,
    permanent,
    no_budget,
    no_token,
    no_upstream,
    no_time,
  } refused = reason::none;

  bool operator==(const retry_decision&) const = default;
};

// Returns true if the code means that a daemon refused the call for load.
bool is_overload(support::result_code code);

// Decides whether a failed attempt is retried at another upstream. If the retry uses the budget,
// the attempt and the token have been taken; return the attempt with restore_attempt if it is not
// sent after all.
retry_decision may_retry(attempt_budget& budget, retry_tokens& tokens, const failed_attempt& failed,
                         support::time_point now, support::random_source& random);

// Returns a delay with full jitter before the n-th retry, n from 0: uniform between 0 and 10 ms
// times 2^n, at most 500 ms.
support::duration backoff_delay(std::uint32_t retry, support::random_source& random);

} // namespace acaciasill::decide

#endif

#ifndef ACACIASILL_DECIDE_RETRY_H
#define ACACIASILL_DECIDE_RETRY_H

#include <atomic>
#include <cstdint>

#include "acaciasill/support/random.h"
#include "acaciasill/support/result_code.h"
#include "acaciasill/support/time.h"

// Retries: a budget for the whole request that is conserved whatever is lost, a ratio for each
// caller and destination, and the rule of who may retry what.
namespace acaciasill::decide {

// Attempts beyond the first that a daemon holds for one request. What is lent to a child is gone
// from here until the child's reply brings the unused part back, so that a lost reply spends it.
struct attempt_budget {
  attempt_budget() = default;
  explicit attempt_budget(std::uint32_t minted) : state(minted) {}

  // The epoch in the high half and the attempts held in the low half. A table that uses a budget
  // for one request after another raises the epoch, so that a late return finds another one.
  std::atomic<std::uint64_t> state{0};
};

// The attempts that are held now.
std::uint32_t held_attempts(const attempt_budget& budget);

// The present epoch.
std::uint32_t budget_epoch(const attempt_budget& budget);

// Begins the next epoch with this many attempts.
void reset_budget(attempt_budget& budget, std::uint32_t attempts);

// Takes out what is held, at most this many; returns how many.
std::uint32_t take_attempts(attempt_budget& budget, std::uint32_t most);

// Adds attempts in the epoch; false where the epoch is over, and the attempts are then spent.
bool add_attempts(attempt_budget& budget, std::uint32_t epoch, std::uint32_t attempts);

// Takes one attempt out; false where none is left.
bool spend_attempt(attempt_budget& budget);

// Gives one attempt back that was taken out and not sent.
void restore_attempt(attempt_budget& budget);

// Takes out what the next child call is lent: half of what is held, rounded up, so that the last
// attempt goes down to the hop that may be next to the failure. A call to a service that calls
// nobody is lent nothing, since nobody below could spend it.
std::uint32_t lend_attempts(attempt_budget& budget);

// Takes back what a child's reply says it did not use, at most what it was lent; returns the part
// that was taken back. It is called once for a reply and not at all for a lost one. The epoch is
// that of the loan.
std::uint32_t return_attempts(attempt_budget& budget, std::uint32_t lent, std::uint32_t unused,
                              std::uint32_t epoch = 0);

// The retry ratio of one caller and one destination: every first attempt earns a part of a retry.
struct retry_tokens {
  // Thousandths of a retry; starts with one whole one.
  std::atomic<std::int32_t> thousandths{1000};
  // When the tokens last decayed, in milliseconds.
  std::atomic<std::uint32_t> decayed_ms{0};
};

// Counts a first attempt. The ratio is limits::retry_ratio.
void earn_retry(retry_tokens& tokens, double ratio, support::time_point now);

// Takes the token of one retry; false where there is none.
bool take_retry(retry_tokens& tokens, support::time_point now);

// What is known of a failed attempt and of the call.
struct failed_attempt {
  // The outcome as the reply has it; not_run is also set for a refused connection.
  bool not_run = false;
  support::result_code code = support::result_code::internal_error;
  // Whether the failure happened at the destination itself and not at a call that it made.
  bool next_to_failure = true;
  bool overloaded_below = false;
  bool idempotent = true;
  // Upstreams tried up to now, this one included, and how many the subset has.
  std::uint32_t tried = 1;
  std::uint32_t subset_size = 1;
  // Retries of this call up to now that used the budget.
  std::uint32_t retries = 0;
  support::time_point deadline{};
  support::duration expected_service_time{};

  bool operator==(const failed_attempt&) const = default;
};

// What to do about a failed attempt.
struct retry_decision {
  bool retry = false;
  // Whether the retry took an attempt of the budget and a token; elsewhere-at-no-cost has not.
  bool uses_budget = false;
  // How long to wait first.
  support::duration delay{};
  // Why there is no retry.
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

// Whether the code says that a daemon refused the call for load.
bool is_overload(support::result_code code);

// Decides about a retry of a failed attempt at another upstream. Where it uses the budget, the
// attempt and the token have been taken; give the attempt back with restore_attempt if it is not
// sent after all.
retry_decision may_retry(attempt_budget& budget, retry_tokens& tokens, const failed_attempt& failed,
                         support::time_point now, support::random_source& random);

// A delay with full jitter before the n-th retry, n from 0: between 0 and 10 ms times 2^n, at most
// 500 ms.
support::duration backoff_delay(std::uint32_t retry, support::random_source& random);

} // namespace acaciasill::decide

#endif

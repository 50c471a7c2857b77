#ifndef ACACIASILL_CONTROL_CLAIMS_H
#define ACACIASILL_CONTROL_CLAIMS_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "acaciasill/control/claims_row.h"
#include "acaciasill/control/platform.h"
#include "acaciasill/support/random.h"
#include "acaciasill/support/result_code.h"
#include "acaciasill/support/time.h"

// Claims of idempotency keys in the platform's table, as a deterministic state machine like that of
// node.h. A claim permits one execution of one call. It has no expiry, so mutual exclusion never
// depends on a clock. See docs/design/at-most-once.md for the design.
namespace acaciasill::control {

// ---- Settings ----

// Limits and timeouts for the claims of one daemon.
struct claim_settings {
  // Identifier of this process of the daemon, unique for all time. Spaces are replaced by dashes.
  std::string holder;
  // Longest time that a claim waits to be batched with others.
  support::milliseconds batch_window{2};
  // Longest time that the record of an execution's outcome waits to be batched.
  support::milliseconds outcome_batch_window{100};
  // Largest number of rows in one write.
  std::uint32_t max_batch_rows = 64;
  // Limit of concurrent requests to the platform.
  std::uint32_t max_requests = 8;
  // Limit of calls that wait for or hold a claim; further calls are refused.
  std::uint32_t max_calls = 8192;
  // Timeout of one request to the platform.
  support::milliseconds request_timeout{500};
  // Bounds of the exponential backoff, with jitter, after a failed request to the platform.
  support::milliseconds min_backoff{20};
  support::milliseconds max_backoff{2000};
  // Longest time for which recording an outcome is retried. If it fails, the outcome of the key
  // stays unknown to other daemons.
  support::milliseconds record_timeout{30000};
  // Size and retention time of the local cache of finished keys, which avoids reads of the
  // platform.
  std::uint32_t max_cached_keys = 65536;
  support::milliseconds cached_key_lifetime{600000};
  // First ticket number, in a range separate from those of other users of the platform.
  std::uint64_t first_ticket = std::uint64_t{1} << 63U;

  bool operator==(const claim_settings&) const = default;
};

// ---- Events ----

// Requests a claim for a call. The driver chooses the call number and never reuses it.
struct claim_requested {
  std::uint64_t call = 0;
  std::string organisation;
  std::string key;
  support::time_point deadline;

  bool operator==(const claim_requested&) const = default;
};

// The caller disconnected or the deadline passed before the call was sent to the backend server.
struct claim_abandoned {
  std::uint64_t call = 0;

  bool operator==(const claim_abandoned&) const = default;
};

// Execution of a call ended. The outcome is not_run only if the call certainly did not execute.
struct run_ended {
  std::uint64_t call = 0;
  run_outcome outcome = run_outcome::unknown;

  bool operator==(const run_ended&) const = default;
};

// Requests the state of a key.
struct key_queried {
  // Chosen by the driver; returned with the answer.
  std::uint64_t query = 0;
  std::string organisation;
  std::string key;

  bool operator==(const key_queried&) const = default;
};

// The timer most recently set by set_claim_timer expired.
struct claim_timer_fired {
  bool operator==(const claim_timer_fired&) const = default;
};

using claim_event = std::variant<claim_requested, claim_abandoned, run_ended, key_queried,
                                 claim_timer_fired, platform_answer>;

// ---- Actions ----

// The claim is held. The call may be sent once begin_run returns true. The driver reports the end
// of each granted call by run_ended or claim_abandoned.
struct claim_granted {
  std::uint64_t call = 0;

  bool operator==(const claim_granted&) const = default;
};

// The call is not executed. The code determines the outcome reported to the caller:
//   claim_unavailable, deadline_exceeded, cancelled: not_run;
//   duplicate_in_progress: unknown, since another call with this key may be executing;
//   key_already_used: the outcome of the earlier call with this key;
//   outcome_unknown: unknown, since the row is missing or is not a valid claim.
struct claim_refused {
  std::uint64_t call = 0;
  support::result_code code = support::result_code::claim_unavailable;
  std::optional<run_outcome> earlier;
  // Identifier of the daemon process that holds the key, if known.
  std::string holder;

  bool operator==(const claim_refused&) const = default;
};

// The outcome was recorded, or recording it was abandoned. After not_run, a driver may wait for
// this before it answers, so that the next attempt finds the key free.
struct claim_settled {
  std::uint64_t call = 0;
  bool recorded = false;

  bool operator==(const claim_settled&) const = default;
};

// Answer to key_queried.
struct key_answer {
  std::uint64_t query = 0;
  // False if the platform could not be read; the row is then meaningless.
  bool known = false;
  // Absent if the key has not been claimed.
  std::optional<claim_row> row;

  bool operator==(const key_answer&) const = default;
};

// Requests claim_timer_fired at the given time; replaces any timer set before.
struct set_claim_timer {
  support::time_point at;

  bool operator==(const set_claim_timer&) const = default;
};

using claim_action = std::variant<platform_request, claim_granted, claim_refused, claim_settled,
                                  key_answer, set_claim_timer>;

// ---- State machine ----

struct claims_state;

struct claims_state_deleter {
  void operator()(claims_state* state) const;
};

using claims_state_ptr = std::unique_ptr<claims_state, claims_state_deleter>;

// Returns the claims of a daemon that has just started.
claims_state_ptr make_claims(const claim_settings& settings);

// Processes one event and appends the resulting actions in order.
void step(claims_state& state, const claim_event& input, support::time_point now,
          support::random_source& random, std::vector<claim_action>& actions);

// Final check before a granted call is sent. Returns true at most once for a call, and only before
// its deadline by the daemon's own clock. If it returns false, the driver reports run_ended with
// not_run.
bool begin_run(claims_state& state, std::uint64_t call, support::time_point now);

// Counters for diagnostics and tests.
struct claim_status {
  std::uint64_t waiting = 0;
  std::uint64_t cached_keys = 0;
  std::uint64_t writes = 0;
  std::uint64_t written_rows = 0;
  std::uint64_t reads = 0;
  std::uint64_t batch_splits = 0;

  bool operator==(const claim_status&) const = default;
};

claim_status get_claim_status(const claims_state& state);

} // namespace acaciasill::control

#endif

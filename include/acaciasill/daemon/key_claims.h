#ifndef ACACIASILL_DAEMON_KEY_CLAIMS_H
#define ACACIASILL_DAEMON_KEY_CLAIMS_H

#include <cstdint>
#include <functional>
#include <string>

#include "acaciasill/support/result_code.h"
#include "acaciasill/support/time.h"
#include "acaciasill/wire/call.h"

// Interface of the call path to idempotency key claims. A call that is not idempotent must claim
// its key before it runs.
namespace acaciasill::daemon {

// Request to claim the idempotency key of a call.
struct claim_request {
  std::string organisation;
  std::string key;
  support::time_point deadline;

  bool operator==(const claim_request&) const = default;
};

// Decision on a claim. Permission to run expires at valid_until on the local monotonic clock. The
// caller must check the expiry immediately before it runs the call, since the process may have been
// paused in between.
struct claim_decision {
  // Identifies the claim in its settlement.
  std::uint64_t claim = 0;
  bool may_run = false;
  support::result_code code = support::result_code::claim_unavailable;
  // Outcome reported to the caller if the call may not run: that of the earlier call with the same
  // key, or unknown while that call may still be running.
  wire::outcome outcome = wire::outcome::not_run;
  support::time_point valid_until;

  bool operator==(const claim_decision&) const = default;
};

// Outcome of a call that was permitted to run. not_run is valid only if the call certainly did not
// run.
struct claim_settlement {
  std::uint64_t claim = 0;
  wire::outcome outcome = wire::outcome::unknown;

  bool operator==(const claim_settlement&) const = default;
};

// Claim operations. Both may be called from any thread; the decision may be delivered on any
// thread.
struct key_claims {
  std::function<void(const claim_request&, std::function<void(claim_decision)>)> claim;
  std::function<void(const claim_settlement&)> settle;
};

} // namespace acaciasill::daemon

#endif

#ifndef ACACIASILL_DAEMON_KEY_CLAIMS_H
#define ACACIASILL_DAEMON_KEY_CLAIMS_H

#include <cstdint>
#include <functional>
#include <string>

#include "acaciasill/support/result_code.h"
#include "acaciasill/support/time.h"
#include "acaciasill/wire/call.h"

// The claim of an idempotency key before a call that is not idempotent runs, as the call path sees
// it.
namespace acaciasill::daemon {

// The key that a call wants to run under.
struct claim_question {
  std::string organisation;
  std::string key;
  support::time_point deadline;

  bool operator==(const claim_question&) const = default;
};

// Whether the call may run. A permission ends at valid_until by the local monotonic clock, which
// the caller checks at the last step, since the process may have been paused in between.
struct claim_verdict {
  // Names the claim in its settlement.
  std::uint64_t claim = 0;
  bool may_run = false;
  support::result_code code = support::result_code::claim_unavailable;
  // What the caller is told where the call may not run: the end of the key's earlier call, or
  // unknown while that may still be running.
  wire::outcome outcome = wire::outcome::not_run;
  support::time_point valid_until;

  bool operator==(const claim_verdict&) const = default;
};

// How a call that was permitted to run ended; not_run only where it certainly did not run.
struct claim_settlement {
  std::uint64_t claim = 0;
  wire::outcome outcome = wire::outcome::unknown;

  bool operator==(const claim_settlement&) const = default;
};

// The two operations. Both may be called from any thread; the answer may come on any thread.
struct key_claims {
  std::function<void(const claim_question&, std::function<void(claim_verdict)>)> claim;
  std::function<void(const claim_settlement&)> settle;
};

} // namespace acaciasill::daemon

#endif

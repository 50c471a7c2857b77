#ifndef ACACIASILL_CONTROL_CLAIMS_ISSUED_H
#define ACACIASILL_CONTROL_CLAIMS_ISSUED_H

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "acaciasill/control/claims_row.h"
#include "acaciasill/support/result_code.h"
#include "acaciasill/support/time.h"

// Idempotency keys that the daemons issue. Each key names the only daemon process that may execute
// its call, so that no store is needed. Every other daemon forwards the call to that process; if it
// has ended, the outcome is reported as unknown.
namespace acaciasill::control {

// Contents of an issued key.
struct issued_key {
  // Address at which the issuing daemon accepts calls, as "ip:port".
  std::string call_address;
  // Random number chosen when that daemon process started.
  std::uint64_t start_nonce = 0;
  // Sequence number within that process, starting at 1.
  std::uint64_t number = 0;

  bool operator==(const issued_key&) const = default;
};

// Converts a key to and from text. Parsing returns nullopt for any key that was not issued by a
// daemon, such as one chosen by a caller.
std::string format_issued_key(const issued_key& key);
std::optional<issued_key> parse_issued_key(std::string_view text);

// Identity of a daemon process and limits of the keys that it issues.
struct issued_key_settings {
  std::string call_address;
  std::uint64_t start_nonce = 0;
  // Time during which a key may be used and its outcome queried.
  support::milliseconds lifetime{600000};
  // Limit of keys that are tracked; at the limit no further keys are issued.
  std::uint32_t max_keys = 65536;

  bool operator==(const issued_key_settings&) const = default;
};

// Keys issued by one daemon process.
struct issued_keys {
  struct entry {
    std::string organisation;
    support::time_point expires_at;
    bool has_started = false;
    std::optional<run_outcome> outcome;
  };

  issued_key_settings settings;
  std::unordered_map<std::uint64_t, entry> entries;
  // Key numbers in the order of issue, which is also the order of expiry.
  std::deque<std::uint64_t> issue_order;
  std::uint64_t last_issued_number = 0;
};

// Issues a key to an organisation. Returns nullopt if max_keys keys are tracked.
std::optional<std::string> issue_key(issued_keys& keys, std::string_view organisation,
                                     support::time_point now);

// Result of a lookup of an issued key:
//   ok: the call may be executed;
//   duplicate_in_progress, key_already_used: as for claim_refused;
//   outcome_unknown: the key was issued by another process, has expired or is no longer tracked;
//   bad_request: the key was never issued to the organisation, so the call has not been executed.
struct issued_key_result {
  support::result_code code = support::result_code::outcome_unknown;
  std::optional<run_outcome> earlier;

  bool operator==(const issued_key_result&) const = default;
};

// Final check before a call with an issued key is sent to the backend server. If the result is ok,
// the key counts as in use.
issued_key_result start_issued_call(issued_keys& keys, const issued_key& key,
                                    std::string_view organisation, support::time_point now);

// Records the outcome of a call; after not_run the key may be used again.
void record_issued_outcome(issued_keys& keys, const issued_key& key, run_outcome outcome);

// Looks up a key without using it; ok means that it has not been used yet.
issued_key_result look_up_issued_key(const issued_keys& keys, const issued_key& key,
                                     std::string_view organisation, support::time_point now);

} // namespace acaciasill::control

#endif

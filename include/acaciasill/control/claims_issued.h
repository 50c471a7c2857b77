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

// Idempotency keys that the system issues. Each names the one life of the one daemon that may run
// it, so that no store is needed: every other daemon passes the call on to that one or, where that
// life has ended, says that the outcome is unknown.
namespace acaciasill::control {

// What an issued key says.
struct issued_key {
  // The "ip:port" number on which the issuing daemon takes calls.
  std::string call_address;
  // The random bits of that daemon's life.
  std::uint64_t start_nonce = 0;
  // Rises by one with each key of that life, from 1.
  std::uint64_t number = 0;

  bool operator==(const issued_key&) const = default;
};

// The text of a key, and back; nothing for keys that callers made themselves.
std::string format_issued_key(const issued_key& key);
std::optional<issued_key> parse_issued_key(std::string_view text);

// Bounds of the keys that one daemon has issued.
struct issued_key_settings {
  std::string call_address;
  std::uint64_t start_nonce = 0;
  // How long a key may be used and its outcome asked for.
  support::milliseconds lifetime{600000};
  // Keys that are remembered; with more, no key is issued.
  std::uint32_t max_keys = 65536;

  bool operator==(const issued_key_settings&) const = default;
};

// The keys that one life of a daemon has issued.
struct issued_keys {
  struct entry {
    std::string organisation;
    support::time_point until;
    bool is_begun = false;
    std::optional<run_outcome> outcome;
  };

  issued_key_settings settings;
  std::unordered_map<std::uint64_t, entry> entries;
  // Numbers in the order in which they were issued, which is that of their ends.
  std::deque<std::uint64_t> order;
  std::uint64_t last_number = 0;
};

// Issues a key to an organisation; nothing where as many as are allowed are remembered.
std::optional<std::string> issue_key(issued_keys& keys, std::string_view organisation,
                                     support::time_point now);

// What a call under an issued key is told: ok, it may run, and from now on counts as begun;
// duplicate_in_progress or key_already_used, as for claim_refused; outcome_unknown, it was issued
// by another life or has been forgotten; bad_request, it was never issued to the organisation, and
// so has not run.
struct issued_verdict {
  support::result_code code = support::result_code::outcome_unknown;
  std::optional<run_outcome> earlier;

  bool operator==(const issued_verdict&) const = default;
};

// The last check before a call under an issued key is sent to the backend server.
issued_verdict begin_issued(issued_keys& keys, const issued_key& key, std::string_view organisation,
                            support::time_point now);

// Notes how the run ended; after not_run the key may be used again.
void end_issued(issued_keys& keys, const issued_key& key, run_outcome outcome);

// What is known of a key, with the codes of issued_verdict; ok for a key that was not used yet.
issued_verdict ask_issued(const issued_keys& keys, const issued_key& key,
                          std::string_view organisation, support::time_point now);

} // namespace acaciasill::control

#endif

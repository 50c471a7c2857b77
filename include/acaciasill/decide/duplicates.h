#ifndef ACACIASILL_DECIDE_DUPLICATES_H
#define ACACIASILL_DECIDE_DUPLICATES_H

#include <atomic>
#include <cstdint>
#include <string_view>
#include <vector>

#include "acaciasill/decide/level.h"

// Table of the calls in flight at this daemon, used to detect duplicate calls of a client that
// retries aggressively. A fixed-size table of atomics; a call allocates nothing.
namespace acaciasill::decide {

// Identifies a call: a hash of request id, destination and idempotency key; never 0.
using call_fingerprint = std::uint64_t;

// Computes the fingerprint of a call. An idempotency key replaces the request id, so that a retry
// under another request id is detected too.
call_fingerprint fingerprint(const request_id& id, std::string_view service,
                             std::string_view method, std::string_view target,
                             std::string_view idempotency_key);

// Table with room for at least this many calls in flight.
struct duplicate_table {
  explicit duplicate_table(std::uint32_t max_calls);

  // Groups of group_size cells; the fingerprint of a call selects its group. A cell holds 0 or a
  // fingerprint whose lowest bit is set once the call is confirmed as the first.
  std::vector<std::atomic<std::uint64_t>> cells;
  std::uint32_t group_mask = 0;

  static constexpr std::uint32_t group_size = 8;
};

// Result of begin_call.
enum class duplicate_check : std::uint8_t {
  first,     // No such call was in flight; end_call has to be called once this one has ended.
  duplicate, // The same call is in flight; answer with duplicate_in_progress.
  untracked, // The table is full; an idempotent call may proceed, and end_call is not called.
};

// Position of a call in the table.
struct duplicate_ticket {
  duplicate_check check = duplicate_check::untracked;
  std::uint32_t cell = 0;

  bool operator==(const duplicate_ticket&) const = default;
};

// Enters a call. If the same call is begun on several threads at once, at most one gets `first`.
duplicate_ticket begin_call(duplicate_table& table, call_fingerprint call);

// Removes a call for which begin_call returned `first`.
void end_call(duplicate_table& table, const duplicate_ticket& ticket);

} // namespace acaciasill::decide

#endif

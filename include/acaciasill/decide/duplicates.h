#ifndef ACACIASILL_DECIDE_DUPLICATES_H
#define ACACIASILL_DECIDE_DUPLICATES_H

#include <atomic>
#include <cstdint>
#include <string_view>
#include <vector>

#include "acaciasill/decide/level.h"

// The calls in flight at this daemon, by which the repeated calls of a client that retries hard are
// recognised. A fixed-size table of atomics; nothing is allocated for a call.
namespace acaciasill::decide {

// Names a call: a hash of request id, destination and idempotency key; never 0.
using call_fingerprint = std::uint64_t;

// The fingerprint of a call. An idempotency key counts in place of the request id, so that a client
// that asks again under another request id is recognised too.
call_fingerprint fingerprint(const request_id& id, std::string_view service,
                             std::string_view method, std::string_view target,
                             std::string_view idempotency_key);

// The table, made for at least this many calls in flight.
struct duplicate_table {
  explicit duplicate_table(std::uint32_t most_calls);

  // Groups of group_size cells; a call's group follows from its fingerprint. A cell holds 0 or a
  // fingerprint whose lowest bit tells whether its call is confirmed.
  std::vector<std::atomic<std::uint64_t>> cells;
  std::uint32_t group_mask = 0;

  static constexpr std::uint32_t group_size = 8;
};

// What begin_call found.
enum class duplicate_check : std::uint8_t {
  first,     // No other such call is in flight; end_call has to be called once it has ended.
  duplicate, // The same call is in flight: answer duplicate_in_progress.
  untracked, // The table has no room; an idempotent call may go on, and end_call is not called.
};

// Where a call stands in the table.
struct duplicate_ticket {
  duplicate_check check = duplicate_check::untracked;
  std::uint32_t cell = 0;

  bool operator==(const duplicate_ticket&) const = default;
};

// Enters a call. Of the same call begun on several threads at once, at most one is the first.
duplicate_ticket begin_call(duplicate_table& table, call_fingerprint call);

// Takes a call out again whose ticket says first.
void end_call(duplicate_table& table, const duplicate_ticket& ticket);

} // namespace acaciasill::decide

#endif

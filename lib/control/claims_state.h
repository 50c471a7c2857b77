#ifndef ACACIASILL_LIB_CONTROL_CLAIMS_STATE_H
#define ACACIASILL_LIB_CONTROL_CLAIMS_STATE_H

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "acaciasill/control/claims.h"

namespace acaciasill::control {

// Phase of a call.
enum class claim_phase : std::uint8_t {
  claiming,  // The claim is being written.
  granted,   // The claim is held; the call has not been sent.
  running,   // The call may have been sent.
  recording, // The call has ended; its outcome is being recorded.
  finished,  // The key is only cached.
};

// State of a key that this daemon claims, holds or has cached.
struct key_state {
  std::uint64_t call = 0;
  claim_phase phase = claim_phase::claiming;
  // The row as last written, or as being written, by this daemon.
  claim_row row;
  // Version of the row before the current write.
  std::uint64_t version = absent_version;
  // While claiming, granted or running, the deadline of the call; while recording, the time when
  // recording is abandoned; once finished, the time when the key leaves the cache.
  support::time_point expires_at;
  // Whether the call has been cancelled or refused, so that the claim is released once it is
  // written.
  bool abandoned = false;
};

// Rows that are written in one transaction.
struct row_batch {
  // Row keys, which are also the keys of claims_state::keys.
  std::vector<std::string> keys;
  // Whether the next request reads a row back rather than writing.
  bool is_reading = false;
  // Whether a write of these rows may have taken effect, or may still do so.
  bool may_have_taken_effect = false;
  support::duration backoff{0};
  // Earliest time of sending.
  support::time_point ready_at{};
};

// State of all claims of one daemon.
struct claims_state {
  claim_settings settings;
  std::unordered_map<std::string, key_state> keys;
  std::unordered_map<std::uint64_t, std::string> key_of_call;
  // Row keys that wait to be batched, and when the batch window expires.
  std::deque<std::string> waiting;
  support::time_point window_ends_at = support::time_point::max();
  // Batches that wait to be sent, and those in flight by ticket.
  std::deque<row_batch> ready;
  std::unordered_map<std::uint64_t, row_batch> sent;
  // Query numbers of key_queried events by ticket of their read.
  std::unordered_map<std::uint64_t, std::uint64_t> queries;
  // Finished keys with their expiry times, in order of expiry.
  std::deque<std::pair<support::time_point, std::string>> finished_keys;
  std::uint64_t next_ticket = 0;
  std::uint64_t next_token = 1;
  claim_status status;
};

} // namespace acaciasill::control

#endif

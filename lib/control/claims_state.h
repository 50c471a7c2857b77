#ifndef ACACIASILL_LIB_CONTROL_CLAIMS_STATE_H
#define ACACIASILL_LIB_CONTROL_CLAIMS_STATE_H

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "acaciasill/control/claims.h"

namespace acaciasill::control {

// How far a call has come.
enum class claim_phase : std::uint8_t {
  claiming, // Its row is being written.
  granted,  // Its row is written; it has not begun.
  running,  // It may have been sent.
  ending,   // It has ended; its end is being recorded.
  ended,    // It is remembered alone.
};

// A key that this daemon has to do with.
struct held_key {
  std::uint64_t call = 0;
  claim_phase phase = claim_phase::claiming;
  // The row as this daemon last wrote, or tries to write, it.
  claim_row row;
  // The version that the row has before the write that is being tried.
  std::uint64_t version = absent_version;
  // When the call's time ends while it is claimed; when the recording is given up while it ends;
  // when the key is forgotten once it has ended.
  support::time_point until;
  // Whether the caller has gone, so that a grant is given back at once.
  bool abandoned = false;
};

// Rows that are written in one transaction and settled together.
struct row_group {
  // Keys of held_keys, which are the keys of the rows.
  std::vector<std::string> keys;
  // Whether the rows are being read back rather than written.
  bool is_reading = false;
  // Whether a write of these rows may have taken effect, or may still do so.
  bool is_doubtful = false;
  support::duration backoff{0};
  // When the group may be sent.
  support::time_point ready_at{};
};

struct claims_state {
  claim_settings settings;
  std::unordered_map<std::string, held_key> keys;
  std::unordered_map<std::uint64_t, std::string> key_of_call;
  // Row keys that wait to be grouped, and when they no longer wait.
  std::deque<std::string> waiting;
  support::time_point flush_at = support::time_point::max();
  // Groups that wait to be sent, and those that were sent, by ticket.
  std::deque<row_group> ready;
  std::unordered_map<std::uint64_t, row_group> sent;
  std::unordered_map<std::uint64_t, std::uint64_t> queries;
  // Ended keys in the order in which they are forgotten.
  std::deque<std::pair<support::time_point, std::string>> endings;
  std::uint64_t next_ticket = 0;
  std::uint64_t next_token = 1;
  claim_status status;
};

} // namespace acaciasill::control

#endif

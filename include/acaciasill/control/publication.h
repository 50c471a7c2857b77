#ifndef ACACIASILL_CONTROL_PUBLICATION_H
#define ACACIASILL_CONTROL_PUBLICATION_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "acaciasill/control/configuration_head.h"
#include "acaciasill/control/node.h"
#include "acaciasill/control/platform.h"
#include "acaciasill/support/random.h"
#include "acaciasill/support/result_code.h"
#include "acaciasill/support/time.h"

// Publication of one configuration set as a deterministic state machine that maps events and the
// current time to actions. The object is written under its digest. One transaction then advances
// the head row from generation n to n + 1 and inserts the history row of n + 1. Whatever the answer
// to that write, the history row is read back: it names the token of the publication that created
// the generation.
namespace acaciasill::control {

// Number of decimal digits, zero-padded, of the generation in a history row's key, so that keys
// sort by generation.
inline constexpr int history_digits = 12;

// Returns the key of a generation's history row, "history/<generation>".
std::string history_key(std::uint64_t generation);

// Returns the key prefix of the block of 100 history rows that contains the generation.
std::string history_block_prefix(std::uint64_t generation);

// Number of blocks of 100 history rows that are searched for a token used before.
inline constexpr std::uint64_t max_searched_history_blocks = 2;

// Configuration set to publish, with its conditions and timeouts.
struct publication_plan {
  // Canonical form of the set.
  std::string bytes;
  std::string source_revision;
  // Random text, unique to this publication. Publishing again with the same token resolves an
  // attempt whose result was not known.
  std::string token;
  // Whether an earlier attempt may have used the token; the history is then searched for it.
  bool reuses_token = false;
  // Generation that must be in force; any other is a conflict. Without it any generation is
  // accepted.
  std::optional<std::uint64_t> expected_generation;
  // Timeouts of one request and of the whole publication.
  support::milliseconds request_timeout{2000};
  support::milliseconds total_timeout{30000};
  // Bounds of the exponential backoff, with full jitter, after a failed request.
  support::milliseconds min_backoff{50};
  support::milliseconds max_backoff{2000};

  bool operator==(const publication_plan&) const = default;
};

// ---- Events and actions ----

// The first event of a publication.
struct publication_started {
  bool operator==(const publication_started&) const = default;
};

using publication_event = std::variant<publication_started, platform_answer, timer_fired>;

// Result of a publication; the last action.
struct publication_finished {
  // ok: the set is, or was, in force as the generation in head.
  // publish_conflict: the set will not come into force.
  // platform_unavailable: the head row was not written.
  // platform_unknown: the set may be in force or may still come into force; publishing again with
  // the same token resolves this.
  // platform_corrupt: the head row could not be decoded.
  support::result_code code = support::result_code::internal_error;
  // Whether this publication created the generation; false if the content was already in force.
  bool changed = false;
  // For ok, the head that holds the set; for a conflict, the head that conflicts with it.
  configuration_head head;
  std::string detail;

  bool operator==(const publication_finished&) const = default;
};

using publication_action = std::variant<platform_request, set_timer, publication_finished>;

// ---- State machine ----

// Operation that a publication performs or waits for.
enum class publication_stage : std::uint8_t {
  write_object,
  read_head,
  search_history,
  write_head,
  read_back,  // Reads the history row that write_head should have inserted.
  check_head, // The history row is absent; checks whether the head row is unchanged.
  finished,
};

// State of one publication.
struct publication_state {
  publication_plan plan;
  publication_stage stage = publication_stage::write_object;
  support::time_point deadline;
  // Ticket of the outstanding request; 0 during backoff.
  std::uint64_t ticket = 0;
  std::uint64_t last_ticket = 0;
  support::time_point request_deadline;
  support::time_point retry_at;
  std::uint32_t failures = 0;
  std::uint64_t searched_history_blocks = 0;
  // Version and contents of the current head row, and the head that replaces it.
  std::uint64_t head_version = absent_version;
  configuration_head current_head;
  configuration_head next_head;
  // Whether a write of the head row may have reached the platform.
  bool head_write_sent = false;
  bool head_was_corrupt = false;

  bool operator==(const publication_state&) const = default;
};

publication_state make_publication(const publication_plan& plan);

// Processes one event and appends the resulting actions in order. Answers to requests other than
// the outstanding one are ignored.
void step(publication_state& state, const publication_event& input, support::time_point now,
          support::random_source& random, std::vector<publication_action>& actions);

} // namespace acaciasill::control

#endif

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

// The publication of one configuration set as a step machine: events and a time go in, actions come
// out. The object is written under its digest; then one transaction moves the head row from
// generation n to n + 1 and inserts the history row of n + 1. Whatever the answer to that write,
// the history row is read back: it names the token of the one publication that made this
// generation.
namespace acaciasill::control {

// History rows are "history/" and the generation with this many digits, so that they sort.
inline constexpr int history_digits = 12;

// The key of the history row of a generation.
std::string history_key(std::uint64_t generation);

// The prefix that the history rows of a generation's hundred share.
std::string history_hundred_prefix(std::uint64_t generation);

// Hundreds of history rows that are searched for a token that was used before.
inline constexpr std::uint64_t searched_history_hundreds = 2;

// What is to be published, and how patiently.
struct publication_plan {
  // The canonical form of the set.
  std::string bytes;
  std::string source_revision;
  // Random text that no other publication uses. Publishing again with the same token settles an
  // attempt whose end was not known.
  std::string token;
  // Whether an earlier attempt may have used the token, so that the history is searched for it.
  bool token_was_used = false;
  // The generation that must be in force; another one is a conflict. Nothing takes what is there.
  std::optional<std::uint64_t> expected_generation;
  // The longest time of one request and of the whole publication.
  support::milliseconds request_timeout{2000};
  support::milliseconds total_timeout{30000};
  // Bounds of the pause after a failed request; it doubles, with full jitter.
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

// The end of a publication; nothing follows it.
struct publication_finished {
  // ok: the set is, or was, in force as the head's generation. publish_conflict: it never will be.
  // platform_unavailable: nothing was written to the head. platform_unknown: it may be in force, or
  // may yet come in force; the same token settles it. platform_corrupt: the head row is no head.
  support::result_code code = support::result_code::internal_error;
  // Whether this publication made the generation; false where the content was in force before.
  bool changed = false;
  // Where ok, the head of this publication; at a conflict, the one that stands in its way.
  configuration_head head;
  std::string detail;

  bool operator==(const publication_finished&) const = default;
};

using publication_action = std::variant<platform_request, set_timer, publication_finished>;

// ---- The step ----

// What a publication is waiting for.
enum class publication_stage : std::uint8_t {
  write_object,
  read_head,
  search_history,
  write_head,
  read_back,  // Reads the history row that the write was to insert.
  check_head, // There is no such row; looks whether the head is still the one that it builds on.
  finished,
};

// The state of one publication.
struct publication_state {
  publication_plan plan;
  publication_stage stage = publication_stage::write_object;
  support::time_point give_up_at;
  // The request that is under way; its ticket is 0 while the machine pauses.
  std::uint64_t ticket = 0;
  std::uint64_t last_ticket = 0;
  support::time_point request_ends;
  support::time_point resume_at;
  std::uint32_t failures = 0;
  std::uint64_t searched_hundreds = 0;
  // The head row that the publication builds on, and the head that it writes.
  std::uint64_t head_version = absent_version;
  configuration_head head_before;
  configuration_head head_after;
  // Whether a write of the head row may have reached the platform.
  bool head_write_sent = false;
  bool head_was_corrupt = false;

  bool operator==(const publication_state&) const = default;
};

publication_state make_publication(const publication_plan& plan);

// Takes one event and appends what has to be done, in order. Answers to other requests than the one
// under way are left aside.
void step(publication_state& state, const publication_event& input, support::time_point now,
          support::random_source& random, std::vector<publication_action>& actions);

} // namespace acaciasill::control

#endif

#ifndef ACACIASILL_CONTROL_CLAIMS_H
#define ACACIASILL_CONTROL_CLAIMS_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "acaciasill/control/claims_row.h"
#include "acaciasill/control/platform.h"
#include "acaciasill/support/random.h"
#include "acaciasill/support/result_code.h"
#include "acaciasill/support/time.h"

// Claims of idempotency keys in the platform's table, as a step machine like that of node.h. A
// claim permits one run of one call, for ever: it never lapses, so no clock decides who may run.
// The design is argued in docs/design/at-most-once.md.
namespace acaciasill::control {

// ---- Settings ----

// Bounds and periods of one daemon's claims.
struct claim_settings {
  // Names this life of the daemon; no other life may ever have the same. Spaces become dashes.
  std::string holder;
  // How long a claim waits for others.
  support::milliseconds group_window{2};
  // How long the recorded end of a run waits for a group to go along with.
  support::milliseconds record_window{100};
  // Rows of one write.
  std::uint32_t max_group = 64;
  // Requests to the platform at once.
  std::uint32_t max_requests = 8;
  // Calls that want or hold a claim at once; more are refused.
  std::uint32_t max_calls = 8192;
  // How long one request to the platform may take.
  support::milliseconds request_timeout{500};
  // Bounds of the pause after the platform failed; the pause doubles and is jittered.
  support::milliseconds min_backoff{20};
  support::milliseconds max_backoff{2000};
  // How long the end of a run is tried to be recorded; without it the key's outcome stays unknown.
  support::milliseconds record_patience{30000};
  // Ended keys that are remembered without asking the platform, and for how long.
  std::uint32_t max_remembered = 65536;
  support::milliseconds remember_for{600000};
  // Tickets of requests count from here, apart from those of other askers.
  std::uint64_t first_ticket = std::uint64_t{1} << 63U;

  bool operator==(const claim_settings&) const = default;
};

// ---- Events ----

// A call wants to run under a key. Its number is chosen by the driver and never used again.
struct claim_wanted {
  std::uint64_t call = 0;
  std::string organisation;
  std::string key;
  support::time_point deadline;

  bool operator==(const claim_wanted&) const = default;
};

// The call's caller went away, or its time ended, before the run began.
struct claim_abandoned {
  std::uint64_t call = 0;

  bool operator==(const claim_abandoned&) const = default;
};

// The run of a call ended; not_run only where the call certainly did not run.
struct run_ended {
  std::uint64_t call = 0;
  run_outcome outcome = run_outcome::unknown;

  bool operator==(const run_ended&) const = default;
};

// Somebody asks what became of a key.
struct key_asked {
  // Chosen by the driver; comes back with the answer.
  std::uint64_t query = 0;
  std::string organisation;
  std::string key;

  bool operator==(const key_asked&) const = default;
};

// The timer fired that the claims set last.
struct claim_timer_fired {
  bool operator==(const claim_timer_fired&) const = default;
};

using claim_event = std::variant<claim_wanted, claim_abandoned, run_ended, key_asked,
                                 claim_timer_fired, platform_answer>;

// ---- Actions ----

// The call may run once begin_run says so, as the last step before it is sent. Each granted call is
// followed by run_ended or claim_abandoned.
struct claim_granted {
  std::uint64_t call = 0;

  bool operator==(const claim_granted&) const = default;
};

// The call does not run. The code says what the caller is told:
//   claim_unavailable, deadline_exceeded, cancelled: not_run;
//   duplicate_in_progress: unknown, since another call of this key may be running;
//   key_already_used: the outcome of the earlier call of this key;
//   outcome_unknown: unknown, since the key's row cannot be read as one of this project.
struct claim_refused {
  std::uint64_t call = 0;
  support::result_code code = support::result_code::claim_unavailable;
  std::optional<run_outcome> earlier;
  // The life of the daemon that holds the key, where it is known.
  std::string holder;

  bool operator==(const claim_refused&) const = default;
};

// The end of a run is recorded, or was given up. After not_run, a driver may wait for this before
// it answers, so that the next attempt finds the key free.
struct claim_settled {
  std::uint64_t call = 0;
  bool recorded = false;

  bool operator==(const claim_settled&) const = default;
};

// What is known of a key.
struct key_answer {
  std::uint64_t query = 0;
  // False where the platform could not be asked; the rest then says nothing.
  bool known = false;
  // Absent where nobody has claimed the key.
  std::optional<claim_row> row;

  bool operator==(const key_answer&) const = default;
};

// Asks for claim_timer_fired at this moment; a later action replaces an earlier one.
struct set_claim_timer {
  support::time_point at;

  bool operator==(const set_claim_timer&) const = default;
};

using claim_action = std::variant<platform_request, claim_granted, claim_refused, claim_settled,
                                  key_answer, set_claim_timer>;

// ---- The step ----

struct claims_state;

struct claims_state_deleter {
  void operator()(claims_state* state) const;
};

using claims_state_ptr = std::unique_ptr<claims_state, claims_state_deleter>;

// The claims of a daemon that has just started.
claims_state_ptr make_claims(const claim_settings& settings);

// Takes one event and appends what has to be done, in order.
void step(claims_state& state, const claim_event& input, support::time_point now,
          support::random_source& random, std::vector<claim_action>& actions);

// The last check before a granted call is sent: true at most once for a call, and only before its
// deadline by the daemon's own clock. After false the driver reports run_ended with not_run.
bool begin_run(claims_state& state, std::uint64_t call, support::time_point now);

// Figures for metrics.
struct claim_status {
  std::uint64_t waiting = 0;
  std::uint64_t remembered = 0;
  std::uint64_t writes = 0;
  std::uint64_t written_rows = 0;
  std::uint64_t reads = 0;
  std::uint64_t splits = 0;

  bool operator==(const claim_status&) const = default;
};

claim_status describe_claims(const claims_state& state);

} // namespace acaciasill::control

#endif

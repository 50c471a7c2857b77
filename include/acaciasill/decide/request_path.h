#ifndef ACACIASILL_DECIDE_REQUEST_PATH_H
#define ACACIASILL_DECIDE_REQUEST_PATH_H

#include "acaciasill/decide/concurrency_limit.h"
#include "acaciasill/decide/duplicates.h"
#include "acaciasill/decide/entry_thresholds.h"
#include "acaciasill/decide/gate.h"
#include "acaciasill/decide/level.h"
#include "acaciasill/decide/parent_calls.h"
#include "acaciasill/decide/retry.h"
#include "acaciasill/decide/retry_advice.h"
#include "acaciasill/decide/returning.h"
#include "acaciasill/decide/routing.h"
#include "acaciasill/decide/threshold_controller.h"
#include "acaciasill/decide/wait_queue.h"

// Interface of the request path. The daemon and any other driver make every decision about a call
// through the functions gathered here; there is no second implementation. The functions read no
// clock, start no thread and open no socket: the driver supplies the time, which may be virtual,
// and a random source, and carries out the decisions. unittests/decide/example_test.cpp runs two
// nodes in virtual time.
//
// At the caller's daemon: shed_at_entry, begin_call (for a call from outside), choose_upstream,
// begin_attempt and lend_attempts (or borrow_from_parent for a call of the local backend server),
// send; on a reply on_reply, and after a failure may_retry; end_call at the end.
//
// At the upstream's daemon: admit. On run, call open_parent and pass the call to the backend
// server; on wait, call enqueue and then next_from_queue; on refuse, answer at once. When the
// backend server has answered: close_parent, on_finish, next_from_queue. When the caller has
// disconnected: remove, or on_cancel if the call already runs, then next_from_queue. At
// next_drop_time: drop_expired. Every control_period: adjust; every limit_window: update_limit.
namespace acaciasill::decide {

// Values that the caller's daemon reads from a reply.
struct reply_facts {
  std::uint32_t organisation = 0;
  // Threshold of the subtree, in terms of path_level; accept_all if the reply carries none.
  level threshold = accept_all;
  std::uint32_t lent_attempts = 0;
  std::uint32_t unused_attempts = 0;
  load_report load;
  // True if the upstream itself failed. A refusal for load or because it is leaving is not a
  // failure.
  bool upstream_failed = false;

  bool operator==(const reply_facts&) const = default;
};

// Tag for a reply that will not arrive. Its cause is not known, and all attempts lent count as
// spent.
struct lost_reply {};

// Processes a reply: updates load and health of the upstream, the entry's threshold for each
// subject (the service and the route), and returns the unused attempts.
void on_reply(upstream_load& load, entry_thresholds& thresholds,
              std::span<const std::uint32_t> subjects, attempt_budget& budget,
              const reply_facts& reply, support::time_point now);

// Processes a lost reply: the attempts lent are spent and the upstream counts as failed.
void on_reply(upstream_load& load, const lost_reply& lost, support::time_point now);

} // namespace acaciasill::decide

#endif

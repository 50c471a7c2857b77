#ifndef ACACIASILL_DECIDE_REQUEST_PATH_H
#define ACACIASILL_DECIDE_REQUEST_PATH_H

#include "acaciasill/decide/advice.h"
#include "acaciasill/decide/concurrency_limit.h"
#include "acaciasill/decide/duplicates.h"
#include "acaciasill/decide/entry_thresholds.h"
#include "acaciasill/decide/gate.h"
#include "acaciasill/decide/level.h"
#include "acaciasill/decide/parents.h"
#include "acaciasill/decide/retry.h"
#include "acaciasill/decide/returning.h"
#include "acaciasill/decide/routing.h"
#include "acaciasill/decide/threshold_controller.h"
#include "acaciasill/decide/wait_queue.h"

// The boundary of the request path. The daemon and any other driver make every decision about a
// call through the functions gathered here; no other version of a decision exists. They read no
// clock, start no thread and open no socket: a driver brings the time, which may be virtual, and a
// random source, and carries out what the results say. unittests/decide/example_test.cpp runs two
// nodes in virtual time.
//
// At the caller's daemon: shed_at_entry, begin_call (where a call comes from outside),
// choose_upstream, begin_attempt and lend_attempts (or borrow_from_parent for a call of the local
// backend server), send; on a reply on_reply, and where it failed may_retry; end_call at the end.
//
// At the upstream's daemon: admit. On run, open_parent and hand the call to the backend server; on
// wait, enqueue and then next_from_queue; on refuse, answer at once. When the backend server has
// answered: close_parent, on_finish, next_from_queue. When the caller has gone: remove, or
// on_cancel where the call already runs, then next_from_queue. When next_drop_time comes:
// drop_expired. Every control_period: adjust; every limit_window: update_limit.
namespace acaciasill::decide {

// What the caller's daemon takes from a reply.
struct reply_facts {
  std::uint32_t organisation = 0;
  // The threshold of the subtree, in terms of path_level; accept_all where the reply brings none.
  level threshold = accept_all;
  std::uint32_t lent_attempts = 0;
  std::uint32_t unused_attempts = 0;
  load_report load;
  // Whether the upstream itself failed; a refusal for load or a leave is none.
  bool upstream_failed = false;

  bool operator==(const reply_facts&) const = default;
};

// What a reply was lost for is not known; every attempt that was lent is spent.
struct lost_reply {};

// Takes a reply in: load and health of the upstream, the threshold for each of the subjects (the
// service and the route) in the entry's table, and the unused attempts.
void on_reply(upstream_load& load, entry_thresholds& thresholds,
              std::span<const std::uint32_t> subjects, attempt_budget& budget,
              const reply_facts& reply, support::time_point now);

// Takes in that no reply will come: the attempts lent are spent, the upstream counts as failed.
void on_reply(upstream_load& load, const lost_reply& lost, support::time_point now);

} // namespace acaciasill::decide

#endif

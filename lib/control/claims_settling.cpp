#include "claims_settling.h"

#include <algorithm>
#include <utility>

namespace acaciasill::control {
namespace {

using support::result_code;
using support::time_point;

// Forgets a key that this daemon has nothing to do with any more.
void forget(claim_step& step, const std::string& row_key) {
  const auto held = step.state.keys.find(row_key);
  step.state.key_of_call.erase(held->second.call);
  step.state.keys.erase(held);
}

// Keeps an ended key in memory for a while, so that repeats need not ask the platform.
void remember(claim_step& step, const std::string& row_key, held_key& held) {
  auto& state = step.state;
  held.phase = claim_phase::ended;
  held.until = step.now + state.settings.remember_for;
  state.key_of_call.erase(held.call);
  state.endings.emplace_back(held.until, row_key);
}

// The row bears what this daemon wrote.
void handle_written(claim_step& step, const std::string& row_key) {
  auto& held = step.state.keys.at(row_key);
  ++held.version;
  if (held.phase == claim_phase::ending) {
    step.actions.emplace_back(claim_settled{held.call, true});
    remember(step, row_key, held);
    return;
  }
  if (!held.abandoned && step.now < held.until) {
    held.phase = claim_phase::granted;
    step.actions.emplace_back(claim_granted{held.call});
    return;
  }
  if (!held.abandoned) {
    refuse(step, held.call, result_code::deadline_exceeded);
  }
  record_end(step, row_key, held, run_outcome::not_run);
}

// Another row stands where this daemon wanted to write its own; true where it may try again.
bool may_follow(claim_step& step, const std::string& row_key, const table_row& found) {
  auto& held = step.state.keys.at(row_key);
  const auto other = parse_claim_row(found.value);
  if (held.phase == claim_phase::ending || !other) {
    handle_lost(step, row_key, result_code::outcome_unknown);
    return false;
  }
#ifdef ACS_FAULT_CLAIM_IS_A_LEASE
  // A deliberate fault of the test build: a key that another daemon holds may be taken over.
  if (!other->outcome) {
    held.version = found.version;
    return true;
  }
#endif
  if (other->outcome == run_outcome::not_run) {
    held.version = found.version;
    return true;
  }
  handle_lost(step, row_key,
              other->outcome ? result_code::key_already_used : result_code::duplicate_in_progress,
              other);
  return false;
}

// Tries a group again after a jittered pause that doubles.
void retry_later(claim_step& step, row_group group) {
  const support::duration least = step.state.settings.min_backoff;
  const support::duration most = step.state.settings.max_backoff;
  group.backoff = std::clamp(group.backoff * 2, least, most);
  group.ready_at = step.now + support::jittered(group.backoff, step.random);
  send_later(step, std::move(group));
}

// Halves a group, so that one key in use does not hold the others up.
void split(claim_step& step, const row_group& group) {
  ++step.state.status.splits;
  const auto middle = group.keys.begin() + static_cast<std::ptrdiff_t>(group.keys.size() / 2);
  const bool doubtful = group.is_doubtful;
  send_later(step, {.keys = {group.keys.begin(), middle}, .is_doubtful = doubtful});
  send_later(step, {.keys = {middle, group.keys.end()}, .is_doubtful = doubtful});
}

void handle_all_written(claim_step& step, const row_group& group) {
  for (const auto& row_key : group.keys) {
    handle_written(step, row_key);
  }
}

// Settles a group by one of its rows, since they were written all or none. A row in its old state
// does not prove that the write is lost, for it may still arrive; the same write is then tried
// again, and its conditions keep it from taking effect twice.
void handle_read(claim_step& step, row_group group, const std::vector<table_row>& rows) {
  const std::string row_key = group.keys.front();
  const auto& held = step.state.keys.at(row_key);
  const std::uint64_t found_version = rows.empty() ? absent_version : rows.front().version;
  const bool is_written = !rows.empty() && rows.front().value == format_claim_row(held.row);
  group.is_reading = false;
  if (is_written) {
    step.state.keys.at(row_key).version = found_version - 1;
    handle_all_written(step, group);
    return;
  }
  if (found_version == held.version) {
    retry_later(step, std::move(group));
    return;
  }
  if (group.keys.size() > 1) {
    split(step, group);
    return;
  }
  if (rows.empty()) {
    // The row that this daemon has seen is gone, so nothing can be said of the key.
    handle_lost(step, row_key, result_code::outcome_unknown);
    return;
  }
  if (may_follow(step, row_key, rows.front())) {
    send_later(step, std::move(group));
  }
}

// The write was refused, so that at least one row is not as expected.
void handle_conflict(claim_step& step, row_group group) {
  if (group.keys.size() > 1) {
    split(step, group);
    return;
  }
  group.is_reading = true;
  send_later(step, std::move(group));
}

} // namespace

void refuse(claim_step& step, std::uint64_t call, result_code code,
            std::optional<run_outcome> earlier, std::string holder) {
  step.actions.emplace_back(claim_refused{call, code, earlier, std::move(holder)});
}

void enqueue(claim_step& step, const std::string& row_key, support::duration window) {
  step.state.flush_at = std::min(step.state.flush_at, step.now + window);
  step.state.waiting.push_back(row_key);
}

void record_end(claim_step& step, const std::string& row_key, held_key& held, run_outcome outcome) {
  held.phase = claim_phase::ending;
  held.row.outcome = outcome;
  const auto& settings = step.state.settings;
  held.until = step.now + settings.record_patience;
  // A key that is given back may be wanted again at once; any other end is in no hurry.
  const bool is_urgent = outcome == run_outcome::not_run;
  enqueue(step, row_key, is_urgent ? settings.group_window : settings.record_window);
}

void handle_lost(claim_step& step, const std::string& row_key, result_code code,
                 const std::optional<claim_row>& other) {
  auto& held = step.state.keys.at(row_key);
  if (held.phase == claim_phase::ending) {
    // What this daemon knows of its own run stays true whatever the row says. A version that is out
    // of date only makes a later write under it fail.
    step.actions.emplace_back(claim_settled{held.call, false});
    remember(step, row_key, held);
    return;
  }
  if (!held.abandoned) {
    refuse(step, held.call, code, other ? other->outcome : std::nullopt,
           other ? other->holder : std::string());
  }
  forget(step, row_key);
}

void send_later(claim_step& step, row_group group) {
  step.state.ready.push_back(std::move(group));
}

void handle_write_answer(claim_step& step, row_group group, platform_end end) {
#ifdef ACS_FAULT_CLAIM_WITHOUT_READING
  // A deliberate fault of the test build: a lost answer counts as a write that took effect.
  if (end == platform_end::unknown) {
    end = platform_end::done;
  }
#endif
  switch (end) {
  case platform_end::done:
    handle_all_written(step, group);
    return;
  case platform_end::refused:
    handle_conflict(step, std::move(group));
    return;
  case platform_end::failed_before:
    retry_later(step, std::move(group));
    return;
  case platform_end::unknown:
    group.is_reading = true;
    group.is_doubtful = true;
    send_later(step, std::move(group));
    return;
  }
}

void handle_read_answer(claim_step& step, row_group group, const platform_answer& answer) {
  switch (answer.end) {
  case platform_end::done:
    handle_read(step, std::move(group), answer.rows);
    return;
  case platform_end::refused:
    handle_read(step, std::move(group), {});
    return;
  case platform_end::failed_before:
  case platform_end::unknown:
    retry_later(step, std::move(group));
    return;
  }
}

} // namespace acaciasill::control

#include "claims_resolution.h"

#include <algorithm>
#include <utility>

namespace acaciasill::control {
namespace {

using support::result_code;
using support::time_point;

// Removes a key that this daemon neither holds nor claims any longer.
void remove_key(claim_context& context, const std::string& row_key) {
  const auto held = context.state.keys.find(row_key);
  context.state.key_of_call.erase(held->second.call);
  context.state.keys.erase(held);
}

// Caches a finished key, so that duplicates are refused without a read of the platform.
void cache_finished_key(claim_context& context, const std::string& row_key, key_state& held) {
  auto& state = context.state;
  held.phase = claim_phase::finished;
  held.expires_at = context.now + state.settings.cached_key_lifetime;
  state.key_of_call.erase(held.call);
  state.finished_keys.emplace_back(held.expires_at, row_key);
}

// Handles a row whose write took effect.
void handle_written(claim_context& context, const std::string& row_key) {
  auto& held = context.state.keys.at(row_key);
  ++held.version;
  if (held.phase == claim_phase::recording) {
    context.actions.emplace_back(claim_settled{held.call, true});
    cache_finished_key(context, row_key, held);
    return;
  }
  if (!held.abandoned && context.now < held.expires_at) {
    held.phase = claim_phase::granted;
    context.actions.emplace_back(claim_granted{held.call});
    return;
  }
  if (!held.abandoned) {
    refuse(context, held.call, result_code::deadline_exceeded);
  }
  record_outcome(context, row_key, held, run_outcome::not_run);
}

// Handles a row that holds another value than the expected one. Returns true if the write may be
// retried.
bool may_retry_after_conflict(claim_context& context, const std::string& row_key,
                              const table_row& found) {
  auto& held = context.state.keys.at(row_key);
  const auto other = parse_claim_row(found.value);
  if (held.phase == claim_phase::recording || !other) {
    handle_failed_row(context, row_key, result_code::outcome_unknown);
    return false;
  }
#ifdef ACS_FAULT_CLAIM_IS_A_LEASE
  // Injected fault for tests: takes over a key that another daemon holds.
  if (!other->outcome) {
    held.version = found.version;
    return true;
  }
#endif
  if (other->outcome == run_outcome::not_run) {
    held.version = found.version;
    return true;
  }
  handle_failed_row(
      context, row_key,
      other->outcome ? result_code::key_already_used : result_code::duplicate_in_progress, other);
  return false;
}

// Retries a batch after an exponential backoff with jitter.
void retry_later(claim_context& context, row_batch batch) {
  const support::duration min_backoff = context.state.settings.min_backoff;
  const support::duration max_backoff = context.state.settings.max_backoff;
  batch.backoff = std::clamp(batch.backoff * 2, min_backoff, max_backoff);
  batch.ready_at = context.now + support::jittered(batch.backoff, context.random);
  queue_batch(context, std::move(batch));
}

// Splits a batch in halves, so that a conflict on one key does not delay the others.
void split_batch(claim_context& context, const row_batch& batch) {
  ++context.state.status.batch_splits;
  const auto middle = batch.keys.begin() + static_cast<std::ptrdiff_t>(batch.keys.size() / 2);
  const bool is_uncertain = batch.may_have_taken_effect;
  queue_batch(context,
              {.keys = {batch.keys.begin(), middle}, .may_have_taken_effect = is_uncertain});
  queue_batch(context, {.keys = {middle, batch.keys.end()}, .may_have_taken_effect = is_uncertain});
}

void handle_all_written(claim_context& context, const row_batch& batch) {
  for (const auto& row_key : batch.keys) {
    handle_written(context, row_key);
  }
}

// Resolves a batch by reading one of its rows, since a write is atomic. An unchanged row does not
// prove that the write was lost, as it may still arrive. The same write is therefore retried; its
// expected versions prevent it from taking effect twice.
void resolve_by_read(claim_context& context, row_batch batch, const std::vector<table_row>& rows) {
  const std::string row_key = batch.keys.front();
  const auto& held = context.state.keys.at(row_key);
  const std::uint64_t found_version = rows.empty() ? absent_version : rows.front().version;
  const bool is_written = !rows.empty() && rows.front().value == format_claim_row(held.row);
  batch.is_reading = false;
  if (is_written) {
    context.state.keys.at(row_key).version = found_version - 1;
    handle_all_written(context, batch);
    return;
  }
  if (found_version == held.version) {
    retry_later(context, std::move(batch));
    return;
  }
  if (batch.keys.size() > 1) {
    split_batch(context, batch);
    return;
  }
  if (rows.empty()) {
    // A row that existed before has been removed, so the state of the key is unknown.
    handle_failed_row(context, row_key, result_code::outcome_unknown);
    return;
  }
  if (may_retry_after_conflict(context, row_key, rows.front())) {
    queue_batch(context, std::move(batch));
  }
}

// Handles a rejected write: at least one row has an unexpected version.
void handle_conflict(claim_context& context, row_batch batch) {
  if (batch.keys.size() > 1) {
    split_batch(context, batch);
    return;
  }
  batch.is_reading = true;
  queue_batch(context, std::move(batch));
}

} // namespace

void refuse(claim_context& context, std::uint64_t call, result_code code,
            std::optional<run_outcome> earlier, std::string holder) {
  context.actions.emplace_back(claim_refused{call, code, earlier, std::move(holder)});
}

void queue_row(claim_context& context, const std::string& row_key, support::duration window) {
  context.state.window_ends_at = std::min(context.state.window_ends_at, context.now + window);
  context.state.waiting.push_back(row_key);
}

void record_outcome(claim_context& context, const std::string& row_key, key_state& held,
                    run_outcome outcome) {
  held.phase = claim_phase::recording;
  held.row.outcome = outcome;
  const auto& settings = context.state.settings;
  held.expires_at = context.now + settings.record_timeout;
  // A released key may be claimed again at once; other outcomes are not urgent.
  const bool is_urgent = outcome == run_outcome::not_run;
  queue_row(context, row_key, is_urgent ? settings.batch_window : settings.outcome_batch_window);
}

void handle_failed_row(claim_context& context, const std::string& row_key, result_code code,
                       const std::optional<claim_row>& other) {
  auto& held = context.state.keys.at(row_key);
  if (held.phase == claim_phase::recording) {
    // The local outcome is correct whatever the row holds. An outdated version only makes a later
    // conditional write fail.
    context.actions.emplace_back(claim_settled{held.call, false});
    cache_finished_key(context, row_key, held);
    return;
  }
  if (!held.abandoned) {
    refuse(context, held.call, code, other ? other->outcome : std::nullopt,
           other ? other->holder : std::string());
  }
  remove_key(context, row_key);
}

void queue_batch(claim_context& context, row_batch batch) {
  context.state.ready.push_back(std::move(batch));
}

void handle_write_answer(claim_context& context, row_batch batch, platform_end end) {
#ifdef ACS_FAULT_CLAIM_WITHOUT_READING
  // Injected fault for tests: a lost answer counts as a successful write.
  if (end == platform_end::unknown) {
    end = platform_end::done;
  }
#endif
  switch (end) {
  case platform_end::done:
    handle_all_written(context, batch);
    return;
  case platform_end::refused:
    handle_conflict(context, std::move(batch));
    return;
  case platform_end::failed_before:
    retry_later(context, std::move(batch));
    return;
  case platform_end::unknown:
    batch.is_reading = true;
    batch.may_have_taken_effect = true;
    queue_batch(context, std::move(batch));
    return;
  }
}

void handle_read_answer(claim_context& context, row_batch batch, const platform_answer& answer) {
  switch (answer.end) {
  case platform_end::done:
    resolve_by_read(context, std::move(batch), answer.rows);
    return;
  case platform_end::refused:
    resolve_by_read(context, std::move(batch), {});
    return;
  case platform_end::failed_before:
  case platform_end::unknown:
    retry_later(context, std::move(batch));
    return;
  }
}

} // namespace acaciasill::control

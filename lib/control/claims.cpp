#include "acaciasill/control/claims.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "claims_resolution.h"

namespace acaciasill::control {
namespace {

using support::result_code;
using support::time_point;

// Evicts finished keys that have expired or exceed the cache size. An entry is ignored if its key
// is in use again or has a later entry.
void evict_finished_keys(claim_context& context) {
  auto& state = context.state;
  auto& finished_keys = state.finished_keys;
  while (!finished_keys.empty() && (finished_keys.front().first <= context.now ||
                                    finished_keys.size() > state.settings.max_cached_keys)) {
    const auto [expires_at, row_key] = finished_keys.front();
    finished_keys.pop_front();
    const auto held = state.keys.find(row_key);
    if (held != state.keys.end() && held->second.phase == claim_phase::finished &&
        held->second.expires_at == expires_at) {
      state.keys.erase(held);
    }
  }
}

// ---- Events ----

struct event_handler {
  claim_context& context;

  void operator()(const claim_requested& event) const {
    auto& state = context.state;
    const std::string row_key = claim_row_key(event.organisation, event.key);
    std::uint64_t version = absent_version;
    if (const auto held = state.keys.find(row_key); held != state.keys.end()) {
      const auto& [call, phase, row, known_version, expires_at, abandoned] = held->second;
      const bool is_being_released = abandoned || row.outcome == run_outcome::not_run;
      if (phase != claim_phase::finished) {
        return refuse(context, event.call,
                      is_being_released ? result_code::claim_unavailable
                                        : result_code::duplicate_in_progress,
                      std::nullopt, row.holder);
      }
      if (row.outcome != run_outcome::not_run) {
        return refuse(context, event.call, result_code::key_already_used, row.outcome, row.holder);
      }
      version = known_version;
    }
    if (event.deadline <= context.now) {
      return refuse(context, event.call, result_code::deadline_exceeded);
    }
    if (state.key_of_call.size() >= state.settings.max_calls) {
      return refuse(context, event.call, result_code::claim_unavailable);
    }
    key_state held;
    held.call = event.call;
    held.row = {state.settings.holder, absl::StrCat(state.next_token++), std::nullopt};
    held.version = version;
    held.expires_at = event.deadline;
    state.keys.insert_or_assign(row_key, std::move(held));
    state.key_of_call[event.call] = row_key;
    queue_row(context, row_key, state.settings.batch_window);
  }

  void operator()(const claim_abandoned& event) const {
    const auto place = context.state.key_of_call.find(event.call);
    if (place == context.state.key_of_call.end()) {
      return;
    }
    auto& held = context.state.keys.at(place->second);
    if (held.phase == claim_phase::claiming && !held.abandoned) {
      held.abandoned = true;
      refuse(context, event.call, result_code::cancelled);
    }
    if (held.phase == claim_phase::granted) {
      refuse(context, event.call, result_code::cancelled);
      record_outcome(context, place->second, held, run_outcome::not_run);
    }
  }

  void operator()(const run_ended& event) const {
    const auto place = context.state.key_of_call.find(event.call);
    if (place == context.state.key_of_call.end()) {
      return;
    }
    auto& held = context.state.keys.at(place->second);
    if (held.phase == claim_phase::granted || held.phase == claim_phase::running) {
      record_outcome(context, place->second, held, event.outcome);
    }
  }

  void operator()(const key_queried& event) const {
    auto& state = context.state;
    const std::string row_key = claim_row_key(event.organisation, event.key);
    if (const auto held = state.keys.find(row_key); held != state.keys.end()) {
      // Another daemon may have claimed a key that was free again, so the table has to be read.
      const bool is_free = held->second.row.outcome == run_outcome::not_run;
      if (held->second.phase != claim_phase::claiming && !is_free) {
        context.actions.emplace_back(key_answer{event.query, true, held->second.row});
        return;
      }
    }
    if (state.queries.size() >= state.settings.max_requests) {
      context.actions.emplace_back(key_answer{event.query, false, std::nullopt});
      return;
    }
    const std::uint64_t ticket = state.settings.first_ticket + state.next_ticket++;
    state.queries[ticket] = event.query;
    ++state.status.reads;
    context.actions.push_back(
        platform_request{ticket, read_row{row_key}, state.settings.request_timeout});
  }

  void operator()(const claim_timer_fired&) const {}

  void operator()(const platform_answer& answer) const {
    if (const auto query = context.state.queries.find(answer.ticket);
        query != context.state.queries.end()) {
      answer_query(query->second, answer);
      context.state.queries.erase(query);
      return;
    }
    const auto place = context.state.sent.find(answer.ticket);
    if (place == context.state.sent.end()) {
      return;
    }
    row_batch batch = std::move(place->second);
    context.state.sent.erase(place);
    if (batch.is_reading) {
      handle_read_answer(context, std::move(batch), answer);
      return;
    }
    handle_write_answer(context, std::move(batch), answer.end);
  }

  void answer_query(std::uint64_t query, const platform_answer& answer) const {
    key_answer result{query, false, std::nullopt};
    const bool is_absent = answer.end == platform_end::refused ||
                           (answer.end == platform_end::done && answer.rows.empty());
    if (is_absent) {
      result.known = true;
    } else if (answer.end == platform_end::done) {
      result.row = parse_claim_row(answer.rows.front().value);
      result.known = result.row.has_value();
    }
    context.actions.push_back(result);
  }
};

// ---- Sending ----

// Handles a row whose time has expired. Returns true if its write has to be resolved further: the
// write of a claim may still take effect. The call is refused and the key is released once the
// write is found in the table. If it cannot be released, it stays claimed and its outcome is
// reported as unknown.
bool needs_resolution_after_expiry(claim_context& context, const std::string& row_key,
                                   bool may_have_taken_effect) {
  auto& held = context.state.keys.at(row_key);
  if (held.phase == claim_phase::claiming && may_have_taken_effect && !held.abandoned) {
    refuse(context, held.call, result_code::claim_unavailable);
    held.abandoned = true;
    held.expires_at = context.now + context.state.settings.record_timeout;
    return true;
  }
  handle_failed_row(context, row_key, result_code::claim_unavailable);
  return false;
}

void remove_expired_rows(claim_context& context, row_batch& batch) {
  std::vector<std::string> kept;
  for (auto& row_key : batch.keys) {
    const bool has_time_left = context.state.keys.at(row_key).expires_at > context.now;
    if (has_time_left ||
        needs_resolution_after_expiry(context, row_key, batch.may_have_taken_effect)) {
      kept.push_back(std::move(row_key));
    }
  }
  batch.keys = std::move(kept);
}

void send(claim_context& context, row_batch batch) {
  auto& state = context.state;
  const std::uint64_t ticket = state.settings.first_ticket + state.next_ticket++;
  platform_request request{ticket, {}, state.settings.request_timeout};
  if (batch.is_reading) {
    ++state.status.reads;
    request.operation = read_row{batch.keys.front()};
  } else {
    ++state.status.writes;
    state.status.written_rows += batch.keys.size();
    write_rows write;
    for (const auto& row_key : batch.keys) {
      const auto& held = state.keys.at(row_key);
      write.rows.push_back({row_key, format_claim_row(held.row), held.version});
    }
    request.operation = std::move(write);
  }
  state.sent.emplace(ticket, std::move(batch));
  context.actions.emplace_back(std::move(request));
}

// Forms batches from the waiting rows if the batch window has expired or a batch is full.
void form_batches(claim_context& context) {
  auto& waiting = context.state.waiting;
  const auto& settings = context.state.settings;
  const bool has_waited = context.state.window_ends_at <= context.now;
  while (waiting.size() >= settings.max_batch_rows || (has_waited && !waiting.empty())) {
    const auto count = std::min<std::size_t>(waiting.size(), settings.max_batch_rows);
    const auto end = waiting.begin() + static_cast<std::ptrdiff_t>(count);
    queue_batch(context, {.keys = {waiting.begin(), end}});
    waiting.erase(waiting.begin(), end);
  }
  if (waiting.empty()) {
    context.state.window_ends_at = time_point::max();
  }
}

void send_ready_batches(claim_context& context) {
  auto& state = context.state;
  std::deque<row_batch> kept;
  for (auto& batch : std::exchange(state.ready, {})) {
    remove_expired_rows(context, batch);
    if (batch.keys.empty()) {
      continue;
    }
    if (batch.ready_at <= context.now && state.sent.size() < state.settings.max_requests) {
      send(context, std::move(batch));
      continue;
    }
    kept.push_back(std::move(batch));
  }
  state.ready = std::move(kept);
}

void set_timer(claim_context& context) {
  const auto& state = context.state;
  time_point at = state.window_ends_at;
  if (state.sent.size() < state.settings.max_requests) {
    for (const auto& batch : state.ready) {
      at = std::min(at, batch.ready_at);
    }
  }
  if (at != time_point::max()) {
    context.actions.emplace_back(set_claim_timer{at});
  }
}

} // namespace

void claims_state_deleter::operator()(claims_state* state) const {
  delete state;
}

claims_state_ptr make_claims(const claim_settings& settings) {
  claims_state_ptr state(new claims_state);
  state->settings = settings;
  // Spaces separate the parts of a stored row.
  std::replace(state->settings.holder.begin(), state->settings.holder.end(), ' ', '-');
  return state;
}

void step(claims_state& state, const claim_event& input, time_point now,
          support::random_source& random, std::vector<claim_action>& actions) {
  claim_context context{state, now, random, actions};
  evict_finished_keys(context);
  std::visit(event_handler{context}, input);
  form_batches(context);
  send_ready_batches(context);
  set_timer(context);
}

bool begin_run(claims_state& state, std::uint64_t call, time_point now) {
  const auto place = state.key_of_call.find(call);
  if (place == state.key_of_call.end()) {
    return false;
  }
  auto& held = state.keys.at(place->second);
  if (held.phase != claim_phase::granted || held.expires_at <= now) {
    return false;
  }
  held.phase = claim_phase::running;
  return true;
}

claim_status get_claim_status(const claims_state& state) {
  claim_status status = state.status;
  status.waiting = state.waiting.size();
  status.cached_keys = state.finished_keys.size();
  return status;
}

} // namespace acaciasill::control

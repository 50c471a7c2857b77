#include "acaciasill/control/claims.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "claims_settling.h"

namespace acaciasill::control {
namespace {

using support::result_code;
using support::time_point;

// Drops remembered keys that are too old or too many. A key that was taken up again, or that ended
// again later, has another entry.
void drop_endings(claim_step& step) {
  auto& state = step.state;
  auto& endings = state.endings;
  while (!endings.empty() &&
         (endings.front().first <= step.now || endings.size() > state.settings.max_remembered)) {
    const auto [until, row_key] = endings.front();
    endings.pop_front();
    const auto held = state.keys.find(row_key);
    if (held != state.keys.end() && held->second.phase == claim_phase::ended &&
        held->second.until == until) {
      state.keys.erase(held);
    }
  }
}

// ---- Events ----

struct event_handler {
  claim_step& step;

  void operator()(const claim_wanted& event) const {
    auto& state = step.state;
    const std::string row_key = claim_row_key(event.organisation, event.key);
    std::uint64_t version = absent_version;
    if (const auto held = state.keys.find(row_key); held != state.keys.end()) {
      const auto& [call, phase, row, known_version, until, abandoned] = held->second;
      const bool is_given_back = abandoned || row.outcome == run_outcome::not_run;
      if (phase != claim_phase::ended) {
        return refuse(step, event.call,
                      is_given_back ? result_code::claim_unavailable
                                    : result_code::duplicate_in_progress,
                      std::nullopt, row.holder);
      }
      if (row.outcome != run_outcome::not_run) {
        return refuse(step, event.call, result_code::key_already_used, row.outcome, row.holder);
      }
      version = known_version;
    }
    if (event.deadline <= step.now) {
      return refuse(step, event.call, result_code::deadline_exceeded);
    }
    if (state.key_of_call.size() >= state.settings.max_calls) {
      return refuse(step, event.call, result_code::claim_unavailable);
    }
    held_key held;
    held.call = event.call;
    held.row = {state.settings.holder, absl::StrCat(state.next_token++), std::nullopt};
    held.version = version;
    held.until = event.deadline;
    state.keys.insert_or_assign(row_key, std::move(held));
    state.key_of_call[event.call] = row_key;
    enqueue(step, row_key, state.settings.group_window);
  }

  void operator()(const claim_abandoned& event) const {
    const auto place = step.state.key_of_call.find(event.call);
    if (place == step.state.key_of_call.end()) {
      return;
    }
    auto& held = step.state.keys.at(place->second);
    if (held.phase == claim_phase::claiming && !held.abandoned) {
      held.abandoned = true;
      refuse(step, event.call, result_code::cancelled);
    }
    if (held.phase == claim_phase::granted) {
      refuse(step, event.call, result_code::cancelled);
      record_end(step, place->second, held, run_outcome::not_run);
    }
  }

  void operator()(const run_ended& event) const {
    const auto place = step.state.key_of_call.find(event.call);
    if (place == step.state.key_of_call.end()) {
      return;
    }
    auto& held = step.state.keys.at(place->second);
    if (held.phase == claim_phase::granted || held.phase == claim_phase::running) {
      record_end(step, place->second, held, event.outcome);
    }
  }

  void operator()(const key_asked& event) const {
    auto& state = step.state;
    const std::string row_key = claim_row_key(event.organisation, event.key);
    if (const auto held = state.keys.find(row_key); held != state.keys.end()) {
      // A key that is free again may have been taken by another daemon since; the table knows.
      const bool is_free = held->second.row.outcome == run_outcome::not_run;
      if (held->second.phase != claim_phase::claiming && !is_free) {
        step.actions.emplace_back(key_answer{event.query, true, held->second.row});
        return;
      }
    }
    if (state.queries.size() >= state.settings.max_requests) {
      step.actions.emplace_back(key_answer{event.query, false, std::nullopt});
      return;
    }
    const std::uint64_t ticket = state.settings.first_ticket + state.next_ticket++;
    state.queries[ticket] = event.query;
    ++state.status.reads;
    step.actions.push_back(
        platform_request{ticket, read_row{row_key}, state.settings.request_timeout});
  }

  void operator()(const claim_timer_fired&) const {}

  void operator()(const platform_answer& answer) const {
    if (const auto query = step.state.queries.find(answer.ticket);
        query != step.state.queries.end()) {
      answer_query(query->second, answer);
      step.state.queries.erase(query);
      return;
    }
    const auto place = step.state.sent.find(answer.ticket);
    if (place == step.state.sent.end()) {
      return;
    }
    row_group group = std::move(place->second);
    step.state.sent.erase(place);
    if (group.is_reading) {
      handle_read_answer(step, std::move(group), answer);
      return;
    }
    handle_write_answer(step, std::move(group), answer.end);
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
    step.actions.push_back(result);
  }
};

// ---- Sending ----

// Gives up a row whose time has ended; true where its write must still be settled. The call of a
// claim whose write may yet take effect is not run all the same, and the row is given back once it
// shows; where it cannot be, the key stays claimed and its outcome honest: unknown.
bool stays_after_expiry(claim_step& step, const std::string& row_key, bool is_doubtful) {
  auto& held = step.state.keys.at(row_key);
  if (held.phase == claim_phase::claiming && is_doubtful && !held.abandoned) {
    refuse(step, held.call, result_code::claim_unavailable);
    held.abandoned = true;
    held.until = step.now + step.state.settings.record_patience;
    return true;
  }
  handle_lost(step, row_key, result_code::claim_unavailable);
  return false;
}

void drop_expired(claim_step& step, row_group& group) {
  std::vector<std::string> kept;
  for (auto& row_key : group.keys) {
    const bool is_alive = step.state.keys.at(row_key).until > step.now;
    if (is_alive || stays_after_expiry(step, row_key, group.is_doubtful)) {
      kept.push_back(std::move(row_key));
    }
  }
  group.keys = std::move(kept);
}

void send(claim_step& step, row_group group) {
  auto& state = step.state;
  const std::uint64_t ticket = state.settings.first_ticket + state.next_ticket++;
  platform_request request{ticket, {}, state.settings.request_timeout};
  if (group.is_reading) {
    ++state.status.reads;
    request.operation = read_row{group.keys.front()};
  } else {
    ++state.status.writes;
    state.status.written_rows += group.keys.size();
    write_rows write;
    for (const auto& row_key : group.keys) {
      const auto& held = state.keys.at(row_key);
      write.rows.push_back({row_key, format_claim_row(held.row), held.version});
    }
    request.operation = std::move(write);
  }
  state.sent.emplace(ticket, std::move(group));
  step.actions.emplace_back(std::move(request));
}

// Makes groups of the rows that have waited long enough, or are enough for a whole group.
void make_groups(claim_step& step) {
  auto& waiting = step.state.waiting;
  const auto& settings = step.state.settings;
  const bool has_waited = step.state.flush_at <= step.now;
  while (waiting.size() >= settings.max_group || (has_waited && !waiting.empty())) {
    const auto count = std::min<std::size_t>(waiting.size(), settings.max_group);
    const auto end = waiting.begin() + static_cast<std::ptrdiff_t>(count);
    send_later(step, {.keys = {waiting.begin(), end}});
    waiting.erase(waiting.begin(), end);
  }
  if (waiting.empty()) {
    step.state.flush_at = time_point::max();
  }
}

void send_ready(claim_step& step) {
  auto& state = step.state;
  std::deque<row_group> kept;
  for (auto& group : std::exchange(state.ready, {})) {
    drop_expired(step, group);
    if (group.keys.empty()) {
      continue;
    }
    if (group.ready_at <= step.now && state.sent.size() < state.settings.max_requests) {
      send(step, std::move(group));
      continue;
    }
    kept.push_back(std::move(group));
  }
  state.ready = std::move(kept);
}

void set_timer(claim_step& step) {
  const auto& state = step.state;
  time_point at = state.flush_at;
  if (state.sent.size() < state.settings.max_requests) {
    for (const auto& group : state.ready) {
      at = std::min(at, group.ready_at);
    }
  }
  if (at != time_point::max()) {
    step.actions.emplace_back(set_claim_timer{at});
  }
}

} // namespace

void claims_state_deleter::operator()(claims_state* state) const {
  delete state;
}

claims_state_ptr make_claims(const claim_settings& settings) {
  claims_state_ptr state(new claims_state);
  state->settings = settings;
  // The parts of a row are parted by spaces.
  std::replace(state->settings.holder.begin(), state->settings.holder.end(), ' ', '-');
  return state;
}

void step(claims_state& state, const claim_event& input, time_point now,
          support::random_source& random, std::vector<claim_action>& actions) {
  claim_step step{state, now, random, actions};
  drop_endings(step);
  std::visit(event_handler{step}, input);
  make_groups(step);
  send_ready(step);
  set_timer(step);
}

bool begin_run(claims_state& state, std::uint64_t call, time_point now) {
  const auto place = state.key_of_call.find(call);
  if (place == state.key_of_call.end()) {
    return false;
  }
  auto& held = state.keys.at(place->second);
  if (held.phase != claim_phase::granted || held.until <= now) {
    return false;
  }
  held.phase = claim_phase::running;
  return true;
}

claim_status describe_claims(const claims_state& state) {
  claim_status status = state.status;
  status.waiting = state.waiting.size();
  status.remembered = state.endings.size();
  return status;
}

} // namespace acaciasill::control

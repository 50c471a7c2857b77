#include "acaciasill/control/claims.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "claims_state.h"

namespace acaciasill::control {
namespace {

using support::result_code;
using support::time_point;

// What one step works with.
struct claim_step {
  claims_state& state;
  time_point now;
  support::random_source& random;
  std::vector<claim_action>& actions;
};

void refuse(claim_step& step, std::uint64_t call, result_code code,
            std::optional<run_outcome> earlier = std::nullopt, std::string holder = {}) {
  step.actions.push_back(claim_refused{call, code, earlier, std::move(holder)});
}

// Lets a row wait for others; the first row whose window ends takes all along.
void enqueue(claim_step& step, const std::string& row_key, support::duration window) {
  step.state.flush_at = std::min(step.state.flush_at, step.now + window);
  step.state.waiting.push_back(row_key);
}

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

// Begins to record the end of a run.
void record_end(claim_step& step, const std::string& row_key, held_key& held, run_outcome outcome) {
  held.phase = claim_phase::ending;
  held.row.outcome = outcome;
  const auto& settings = step.state.settings;
  held.until = step.now + settings.record_patience;
  // A key that is given back may be wanted again at once; any other end is in no hurry.
  const bool is_urgent = outcome == run_outcome::not_run;
  enqueue(step, row_key, is_urgent ? settings.group_window : settings.record_window);
}

// ---- What became of one row ----

// The row bears what this daemon wrote.
void handle_written(claim_step& step, const std::string& row_key) {
  auto& held = step.state.keys.at(row_key);
  ++held.version;
  if (held.phase == claim_phase::ending) {
    step.actions.push_back(claim_settled{held.call, true});
    remember(step, row_key, held);
    return;
  }
  if (!held.abandoned && step.now < held.until) {
    held.phase = claim_phase::granted;
    step.actions.push_back(claim_granted{held.call});
    return;
  }
  if (!held.abandoned) {
    refuse(step, held.call, result_code::deadline_exceeded);
  }
  record_end(step, row_key, held, run_outcome::not_run);
}

// The row does not become this daemon's, or its end cannot be recorded.
void handle_lost(claim_step& step, const std::string& row_key, result_code code,
                 const std::optional<claim_row>& other = std::nullopt) {
  auto& held = step.state.keys.at(row_key);
  if (held.phase == claim_phase::ending) {
    // What this daemon knows of its own run stays true whatever the row says. A version that is out
    // of date only makes a later write under it fail.
    step.actions.push_back(claim_settled{held.call, false});
    remember(step, row_key, held);
    return;
  }
  if (!held.abandoned) {
    refuse(step, held.call, code, other ? other->outcome : std::nullopt,
           other ? other->holder : std::string());
  }
  forget(step, row_key);
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

// ---- Groups ----

void send_later(claim_step& step, row_group group) {
  step.state.ready.push_back(std::move(group));
}

// Tries a group again after a jittered pause that doubles.
void retry_later(claim_step& step, row_group group) {
  const support::duration least = step.state.settings.min_backoff;
  const support::duration most = step.state.settings.max_backoff;
  group.backoff = std::clamp(group.backoff * 2, least, most);
  const double part = 0.5 + support::uniform_unit(step.random) / 2;
  const auto pause = static_cast<std::int64_t>(static_cast<double>(group.backoff.count()) * part);
  group.ready_at = step.now + support::duration(pause);
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
        step.actions.push_back(key_answer{event.query, true, held->second.row});
        return;
      }
    }
    if (state.queries.size() >= state.settings.max_requests) {
      step.actions.push_back(key_answer{event.query, false, std::nullopt});
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
    step.actions.push_back(set_claim_timer{at});
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

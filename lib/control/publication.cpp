#include "acaciasill/control/publication.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "acaciasill/support/hash.h"

namespace acaciasill::control {
namespace {

using support::result_code;
using support::time_point;

constexpr std::uint64_t generations_per_hundred = 100;
constexpr std::uint32_t max_doublings = 20;
// How much longer than a request's timeout the machine waits for its answer.
constexpr support::milliseconds answer_grace{500};

// One step in progress: the state, the moment and where its actions go.
struct step_context {
  publication_state& state;
  time_point now;
  support::random_source& random;
  std::vector<publication_action>& actions;
};

void finish(step_context& context, result_code code, bool changed, const configuration_head& head,
            std::string detail = {}) {
  context.state.stage = publication_stage::finished;
  context.state.ticket = 0;
  context.actions.push_back(publication_finished{code, changed, head, std::move(detail)});
}

void finish_by_conflict(step_context& context, const configuration_head& winner) {
  finish(context, result_code::publish_conflict, false, winner,
         absl::StrCat("generation ", winner.generation, " is of another publication"));
}

// Ends a publication whose time is over with what is known of it.
void give_up(step_context& context) {
  const auto& state = context.state;
  if (state.head_write_sent) {
    return finish(context, result_code::platform_unknown, false, state.head_after,
                  absl::StrCat("token ", state.plan.token));
  }
  const auto code =
      state.head_was_corrupt ? result_code::platform_corrupt : result_code::platform_unavailable;
  finish(context, code, false, state.head_before);
}

// ---- Requests ----

platform_operation operation_of(const publication_state& state) {
  switch (state.stage) {
  case publication_stage::write_object:
    return write_object{state.head_after.digest, state.plan.bytes};
  case publication_stage::search_history: {
    const auto back = state.searched_hundreds * generations_per_hundred;
    return list_rows{history_hundred_prefix(state.head_before.generation - back),
                     generations_per_hundred};
  }
  case publication_stage::write_head: {
    const auto value = encode_configuration_head(state.head_after);
    return write_rows{{{std::string(configuration_head_key), value, state.head_version},
                       {history_key(state.head_after.generation), value, absent_version}}};
  }
  case publication_stage::read_back:
    return read_row{history_key(state.head_after.generation)};
  case publication_stage::read_head:
  case publication_stage::check_head:
  case publication_stage::finished:
    break;
  }
  return read_row{std::string(configuration_head_key)};
}

// Sends the request of the present stage.
void ask(step_context& context) {
  auto& state = context.state;
  const auto left =
      std::chrono::duration_cast<support::milliseconds>(state.give_up_at - context.now);
  const auto timeout = std::clamp(left, support::milliseconds(1), state.plan.request_timeout);
  state.ticket = ++state.last_ticket;
  state.request_ends = context.now + timeout + answer_grace;
  context.actions.push_back(platform_request{state.ticket, operation_of(state), timeout});
  context.actions.push_back(set_timer{state.request_ends});
}

void go_to(step_context& context, publication_stage stage) {
  context.state.stage = stage;
  ask(context);
}

// Pauses before the present stage is tried again.
void pause(step_context& context) {
  auto& state = context.state;
  const auto factor = std::uint64_t{1} << std::min(state.failures, max_doublings);
  const auto bound =
      std::min(state.plan.max_backoff, state.plan.min_backoff * static_cast<std::int64_t>(factor));
  const double part = support::uniform_unit(context.random);
  ++state.failures;
  state.ticket = 0;
  state.resume_at = context.now + std::chrono::duration_cast<support::duration>(bound * part);
  context.actions.push_back(set_timer{std::min(state.resume_at, state.give_up_at)});
}

// ---- Answers ----

// Reads the head row of an answer; nothing where it is no head. A row that is absent is generation
// 0.
std::optional<configuration_head> head_of(const platform_answer& answer) {
  if (answer.rows.empty()) {
    return configuration_head{};
  }
  const auto head = decode_configuration_head(answer.rows.front().value);
  return head.ok() ? std::optional(*head) : std::nullopt;
}

bool is_own(const publication_state& state, const configuration_head& head) {
  return head.publication_token == state.plan.token;
}

// Ends a publication by a head that carries its token, in the head row or in the history.
void finish_by_own(step_context& context, const configuration_head& head) {
  if (head.digest != context.state.head_after.digest) {
    return finish(context, result_code::publish_conflict, false, head,
                  "the token was used for another set");
  }
  finish(context, result_code::ok, true, head);
}

// Decides what to do once the head that is in force is known.
void build_on_head(step_context& context) {
  auto& state = context.state;
  const auto& before = state.head_before;
  if (state.plan.expected_generation && *state.plan.expected_generation != before.generation) {
    return finish_by_conflict(context, before);
  }
  if (before.generation > 0 && before.digest == state.head_after.digest) {
    return finish(context, result_code::ok, false, before);
  }
  state.head_after.generation = before.generation + 1;
  state.head_after.previous_digest = before.digest;
  go_to(context, publication_stage::write_head);
}

void take_head(step_context& context, const platform_answer& answer) {
  auto& state = context.state;
  const auto head = head_of(answer);
  if (!head) {
    state.head_was_corrupt = true;
    return pause(context);
  }
  state.head_before = *head;
  state.head_version = answer.rows.empty() ? absent_version : answer.rows.front().version;
  if (head->generation > 0 && is_own(state, *head)) {
    return finish_by_own(context, *head);
  }
  if (state.plan.token_was_used && head->generation > 0) {
    state.searched_hundreds = 0;
    return go_to(context, publication_stage::search_history);
  }
  build_on_head(context);
}

void take_history(step_context& context, const platform_answer& answer) {
  auto& state = context.state;
  for (const auto& row : answer.rows) {
    const auto head = decode_configuration_head(row.value);
    if (head.ok() && is_own(state, *head)) {
      return finish_by_own(context, *head);
    }
  }
  ++state.searched_hundreds;
  const bool has_more =
      state.head_before.generation >= state.searched_hundreds * generations_per_hundred;
  if (has_more && state.searched_hundreds < searched_history_hundreds) {
    return ask(context);
  }
  build_on_head(context);
}

// The history row of the generation that was to be made tells whose it is.
void take_read_back(step_context& context, const platform_answer& answer) {
  const auto head = head_of(answer);
  if (!head) {
    return pause(context);
  }
  if (head->generation == 0) {
    return go_to(context, publication_stage::check_head);
  }
  if (is_own(context.state, *head)) {
    return finish_by_own(context, *head);
  }
  if (head->digest == context.state.head_after.digest) {
    return finish(context, result_code::ok, false, *head); // Another published the same set.
  }
  finish_by_conflict(context, *head);
}

// Without a history row the write has not taken effect so far. While the head is the same, the same
// write is sent again: the versions let at most one of them take effect.
void take_checked_head(step_context& context, const platform_answer& answer) {
  auto& state = context.state;
  const auto head = head_of(answer);
  if (!head) {
    return pause(context);
  }
  // A head that has moved since the history row was read means that the row is there by now.
  const auto version = answer.rows.empty() ? absent_version : answer.rows.front().version;
  state.stage =
      version == state.head_version ? publication_stage::write_head : publication_stage::read_back;
  pause(context);
}

void take_answer(step_context& context, const platform_answer& answer) {
  auto& state = context.state;
  if (state.stage == publication_stage::write_head) {
    if (answer.end == platform_end::failed_before) {
      return pause(context);
    }
    state.head_write_sent = true;
    return go_to(context, publication_stage::read_back);
  }
  if (answer.end != platform_end::done) {
    return pause(context);
  }
  state.failures = 0;
  switch (state.stage) {
  case publication_stage::write_object:
    return go_to(context, publication_stage::read_head);
  case publication_stage::read_head:
    return take_head(context, answer);
  case publication_stage::search_history:
    return take_history(context, answer);
  case publication_stage::read_back:
    return take_read_back(context, answer);
  case publication_stage::check_head:
    return take_checked_head(context, answer);
  case publication_stage::write_head:
  case publication_stage::finished:
    return;
  }
}

void take_timer(step_context& context) {
  auto& state = context.state;
  const bool is_over = state.ticket == 0 || context.now >= state.request_ends;
  if (context.now >= state.give_up_at && is_over) {
    // An answer that never came says nothing about the write.
    state.head_write_sent = state.head_write_sent ||
                            (state.ticket != 0 && state.stage == publication_stage::write_head);
    return give_up(context);
  }
  if (state.ticket == 0) {
    if (context.now >= state.resume_at) {
      return ask(context);
    }
    context.actions.push_back(set_timer{std::min(state.resume_at, state.give_up_at)});
    return;
  }
  if (context.now < state.request_ends) {
    context.actions.push_back(set_timer{state.request_ends});
    return;
  }
  // The answer itself is lost.
  const auto end = state.stage == publication_stage::write_head ? platform_end::unknown
                                                                : platform_end::failed_before;
  take_answer(context, {state.ticket, end, {}, ""});
}

} // namespace

std::string history_key(std::uint64_t generation) {
  return absl::StrFormat("history/%0*d", history_digits, generation);
}

std::string history_hundred_prefix(std::uint64_t generation) {
  const auto key = history_key(generation);
  return key.substr(0, key.size() - 2);
}

publication_state make_publication(const publication_plan& plan) {
  publication_state state;
  state.plan = plan;
  state.head_after.digest = support::sha256_hex(plan.bytes);
  state.head_after.publication_token = plan.token;
  state.head_after.source_revision = plan.source_revision;
  return state;
}

void step(publication_state& state, const publication_event& input, time_point now,
          support::random_source& random, std::vector<publication_action>& actions) {
  step_context context{state, now, random, actions};
  if (state.stage == publication_stage::finished) {
    return;
  }
  if (std::holds_alternative<publication_started>(input)) {
    state.give_up_at = now + state.plan.total_timeout;
    return go_to(context, publication_stage::write_object);
  }
  if (std::holds_alternative<timer_fired>(input)) {
    return take_timer(context);
  }
  const auto& answer = std::get<platform_answer>(input);
  if (state.ticket == 0 || answer.ticket != state.ticket) {
    return; // The late answer to an earlier request.
  }
  state.ticket = 0;
  if (now < state.give_up_at || answer.end == platform_end::done) {
    return take_answer(context, answer);
  }
  const bool may_have_written =
      state.stage == publication_stage::write_head && answer.end == platform_end::unknown;
  state.head_write_sent = state.head_write_sent || may_have_written;
  give_up(context);
}

} // namespace acaciasill::control

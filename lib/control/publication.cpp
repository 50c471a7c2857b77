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

constexpr std::uint64_t generations_per_block = 100;
constexpr std::uint32_t max_doublings = 20;
// Additional time, beyond a request's timeout, to wait for its answer.
constexpr support::milliseconds answer_grace{500};

// Arguments of one step.
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

void finish_with_conflict(step_context& context, const configuration_head& winner) {
  finish(context, result_code::publish_conflict, false, winner,
         absl::StrCat("generation ", winner.generation, " was created by another publication"));
}

// Ends a publication that has timed out.
void finish_after_timeout(step_context& context) {
  const auto& state = context.state;
  if (state.head_write_sent) {
    return finish(context, result_code::platform_unknown, false, state.next_head,
                  absl::StrCat("token ", state.plan.token));
  }
  const auto code =
      state.head_was_corrupt ? result_code::platform_corrupt : result_code::platform_unavailable;
  finish(context, code, false, state.current_head);
}

// ---- Requests ----

platform_operation operation_for(const publication_state& state) {
  switch (state.stage) {
  case publication_stage::write_object:
    return write_object{state.next_head.digest, state.plan.bytes};
  case publication_stage::search_history: {
    const auto offset = state.searched_history_blocks * generations_per_block;
    return list_rows{history_block_prefix(state.current_head.generation - offset),
                     generations_per_block};
  }
  case publication_stage::write_head: {
    const auto value = encode_configuration_head(state.next_head);
    return write_rows{{{std::string(configuration_head_key), value, state.head_version},
                       {history_key(state.next_head.generation), value, absent_version}}};
  }
  case publication_stage::read_back:
    return read_row{history_key(state.next_head.generation)};
  case publication_stage::read_head:
  case publication_stage::check_head:
  case publication_stage::finished:
    break;
  }
  return read_row{std::string(configuration_head_key)};
}

// Sends the request of the current stage.
void send_request(step_context& context) {
  auto& state = context.state;
  const auto left = std::chrono::duration_cast<support::milliseconds>(state.deadline - context.now);
  const auto timeout = std::clamp(left, support::milliseconds(1), state.plan.request_timeout);
  state.ticket = ++state.last_ticket;
  state.request_deadline = context.now + timeout + answer_grace;
  context.actions.push_back(platform_request{state.ticket, operation_for(state), timeout});
  context.actions.push_back(set_timer{state.request_deadline});
}

void enter_stage(step_context& context, publication_stage stage) {
  context.state.stage = stage;
  send_request(context);
}

// Backs off before the request of the current stage is retried.
void back_off(step_context& context) {
  auto& state = context.state;
  const auto factor = std::uint64_t{1} << std::min(state.failures, max_doublings);
  const auto bound =
      std::min(state.plan.max_backoff, state.plan.min_backoff * static_cast<std::int64_t>(factor));
  const double part = support::uniform_unit(context.random);
  ++state.failures;
  state.ticket = 0;
  state.retry_at = context.now + std::chrono::duration_cast<support::duration>(bound * part);
  context.actions.push_back(set_timer{std::min(state.retry_at, state.deadline)});
}

// ---- Answers ----

// Decodes the head in an answer; returns nullopt if it is invalid. An absent row stands for
// generation 0.
std::optional<configuration_head> decode_head(const platform_answer& answer) {
  if (answer.rows.empty()) {
    return configuration_head{};
  }
  const auto head = decode_configuration_head(answer.rows.front().value);
  return head.ok() ? std::optional(*head) : std::nullopt;
}

bool has_own_token(const publication_state& state, const configuration_head& head) {
  return head.publication_token == state.plan.token;
}

// Ends a publication whose token was found in the head row or in the history.
void finish_with_own_head(step_context& context, const configuration_head& head) {
  if (head.digest != context.state.next_head.digest) {
    return finish(context, result_code::publish_conflict, false, head,
                  "the token was used for another configuration set");
  }
  finish(context, result_code::ok, true, head);
}

// Checks the conditions against the head in force, then writes the next one.
void write_next_head(step_context& context) {
  auto& state = context.state;
  const auto& before = state.current_head;
  if (state.plan.expected_generation && *state.plan.expected_generation != before.generation) {
    return finish_with_conflict(context, before);
  }
  if (before.generation > 0 && before.digest == state.next_head.digest) {
    return finish(context, result_code::ok, false, before);
  }
  state.next_head.generation = before.generation + 1;
  state.next_head.previous_digest = before.digest;
  enter_stage(context, publication_stage::write_head);
}

void handle_head(step_context& context, const platform_answer& answer) {
  auto& state = context.state;
  const auto head = decode_head(answer);
  if (!head) {
    state.head_was_corrupt = true;
    return back_off(context);
  }
  state.current_head = *head;
  state.head_version = answer.rows.empty() ? absent_version : answer.rows.front().version;
  if (head->generation > 0 && has_own_token(state, *head)) {
    return finish_with_own_head(context, *head);
  }
  if (state.plan.reuses_token && head->generation > 0) {
    state.searched_history_blocks = 0;
    return enter_stage(context, publication_stage::search_history);
  }
  write_next_head(context);
}

void handle_history(step_context& context, const platform_answer& answer) {
  auto& state = context.state;
  for (const auto& row : answer.rows) {
    const auto head = decode_configuration_head(row.value);
    if (head.ok() && has_own_token(state, *head)) {
      return finish_with_own_head(context, *head);
    }
  }
  ++state.searched_history_blocks;
  const bool has_more =
      state.current_head.generation >= state.searched_history_blocks * generations_per_block;
  if (has_more && state.searched_history_blocks < max_searched_history_blocks) {
    return send_request(context);
  }
  write_next_head(context);
}

// The generation's history row names the publication that created it.
void handle_read_back(step_context& context, const platform_answer& answer) {
  const auto head = decode_head(answer);
  if (!head) {
    return back_off(context);
  }
  if (head->generation == 0) {
    return enter_stage(context, publication_stage::check_head);
  }
  if (has_own_token(context.state, *head)) {
    return finish_with_own_head(context, *head);
  }
  if (head->digest == context.state.next_head.digest) {
    // Another publication wrote the same set.
    return finish(context, result_code::ok, false, *head);
  }
  finish_with_conflict(context, *head);
}

// Without a history row the write has not taken effect so far. While the head row is unchanged, the
// same write is sent again; the expected versions let at most one of the writes take effect.
void handle_checked_head(step_context& context, const platform_answer& answer) {
  auto& state = context.state;
  const auto head = decode_head(answer);
  if (!head) {
    return back_off(context);
  }
  // If the head row has changed since the history row was read, the history row exists by now.
  const auto version = answer.rows.empty() ? absent_version : answer.rows.front().version;
  state.stage =
      version == state.head_version ? publication_stage::write_head : publication_stage::read_back;
  back_off(context);
}

void handle_answer(step_context& context, const platform_answer& answer) {
  auto& state = context.state;
  if (state.stage == publication_stage::write_head) {
    if (answer.end == platform_end::failed_before) {
      return back_off(context);
    }
    state.head_write_sent = true;
    return enter_stage(context, publication_stage::read_back);
  }
  if (answer.end != platform_end::done) {
    return back_off(context);
  }
  state.failures = 0;
  switch (state.stage) {
  case publication_stage::write_object:
    return enter_stage(context, publication_stage::read_head);
  case publication_stage::read_head:
    return handle_head(context, answer);
  case publication_stage::search_history:
    return handle_history(context, answer);
  case publication_stage::read_back:
    return handle_read_back(context, answer);
  case publication_stage::check_head:
    return handle_checked_head(context, answer);
  case publication_stage::write_head:
  case publication_stage::finished:
    return;
  }
}

void handle_timer(step_context& context) {
  auto& state = context.state;
  const bool is_over = state.ticket == 0 || context.now >= state.request_deadline;
  if (context.now >= state.deadline && is_over) {
    // Without an answer the write may still have taken effect.
    state.head_write_sent = state.head_write_sent ||
                            (state.ticket != 0 && state.stage == publication_stage::write_head);
    return finish_after_timeout(context);
  }
  if (state.ticket == 0) {
    if (context.now >= state.retry_at) {
      return send_request(context);
    }
    context.actions.push_back(set_timer{std::min(state.retry_at, state.deadline)});
    return;
  }
  if (context.now < state.request_deadline) {
    context.actions.push_back(set_timer{state.request_deadline});
    return;
  }
  // No answer arrived in time.
  const auto end = state.stage == publication_stage::write_head ? platform_end::unknown
                                                                : platform_end::failed_before;
  handle_answer(context, {state.ticket, end, {}, ""});
}

} // namespace

std::string history_key(std::uint64_t generation) {
  return absl::StrFormat("history/%0*d", history_digits, generation);
}

std::string history_block_prefix(std::uint64_t generation) {
  const auto key = history_key(generation);
  return key.substr(0, key.size() - 2);
}

publication_state make_publication(const publication_plan& plan) {
  publication_state state;
  state.plan = plan;
  state.next_head.digest = support::sha256_hex(plan.bytes);
  state.next_head.publication_token = plan.token;
  state.next_head.source_revision = plan.source_revision;
  return state;
}

void step(publication_state& state, const publication_event& input, time_point now,
          support::random_source& random, std::vector<publication_action>& actions) {
  step_context context{state, now, random, actions};
  if (state.stage == publication_stage::finished) {
    return;
  }
  if (std::holds_alternative<publication_started>(input)) {
    state.deadline = now + state.plan.total_timeout;
    return enter_stage(context, publication_stage::write_object);
  }
  if (std::holds_alternative<timer_fired>(input)) {
    return handle_timer(context);
  }
  const auto& answer = std::get<platform_answer>(input);
  if (state.ticket == 0 || answer.ticket != state.ticket) {
    return; // Late answer to an earlier request.
  }
  state.ticket = 0;
  if (now < state.deadline || answer.end == platform_end::done) {
    return handle_answer(context, answer);
  }
  const bool may_have_written =
      state.stage == publication_stage::write_head && answer.end == platform_end::unknown;
  state.head_write_sent = state.head_write_sent || may_have_written;
  finish_after_timeout(context);
}

} // namespace acaciasill::control

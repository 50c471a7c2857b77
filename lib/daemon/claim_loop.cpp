#include "acaciasill/daemon/claim_loop.h"

#include <utility>
#include <variant>
#include <vector>

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

namespace acaciasill::daemon {
namespace {

using support::result_code;

control::run_outcome to_run_outcome(wire::outcome outcome) {
  switch (outcome) {
  case wire::outcome::completed:
    return control::run_outcome::completed;
  case wire::outcome::not_run:
    return control::run_outcome::not_run;
  case wire::outcome::failed:
    return control::run_outcome::failed;
  case wire::outcome::unknown:
    return control::run_outcome::unknown;
  }
  return control::run_outcome::unknown;
}

wire::outcome to_outcome(control::run_outcome outcome) {
  switch (outcome) {
  case control::run_outcome::completed:
    return wire::outcome::completed;
  case control::run_outcome::failed:
    return wire::outcome::failed;
  case control::run_outcome::not_run:
    return wire::outcome::not_run;
  case control::run_outcome::unknown:
    return wire::outcome::unknown;
  }
  return wire::outcome::unknown;
}

// Returns the outcome reported to the caller of a refused claim.
wire::outcome outcome_of(const control::claim_refused& refusal) {
  switch (refusal.code) {
  case result_code::key_already_used:
    return refusal.earlier ? to_outcome(*refusal.earlier) : wire::outcome::unknown;
  case result_code::duplicate_in_progress:
  case result_code::outcome_unknown:
    return wire::outcome::unknown;
  default:
    return wire::outcome::not_run;
  }
}

} // namespace

claim_loop::claim_loop(asio::io_context& context, const std::string& holder, std::uint64_t seed,
                       std::function<void(const control::platform_request&)> send_platform_request)
    : context_(context), send_platform_request_(std::move(send_platform_request)), random_(seed),
      timer_(context) {
  control::claim_settings settings;
  settings.holder = holder;
  claims_ = control::make_claims(settings);
}

key_claims claim_loop::operations() {
  return {[this](const claim_request& request, std::function<void(claim_decision)> done) {
            asio::post(context_, [this, request, done = std::move(done)] { begin(request, done); });
          },
          [this](const claim_settlement& settlement) {
            asio::post(context_, [this, settlement] { settle(settlement); });
          }};
}

bool claim_loop::is_claim_ticket(std::uint64_t ticket) {
  return ticket >= control::claim_settings{}.first_ticket;
}

void claim_loop::handle_platform_answer(const control::platform_answer& answer) {
  handle(answer);
}

void claim_loop::query_key(const std::string& organisation, const std::string& key,
                           std::function<void(const control::key_answer&)> done) {
  const auto query = ++last_id_;
  pending_queries_.emplace(query, std::move(done));
  handle(control::key_queried{query, organisation, key});
}

void claim_loop::begin(const claim_request& request, std::function<void(claim_decision)> done) {
  const auto call = ++last_id_;
  pending_claims_.emplace(call, pending_claim{request, std::move(done)});
  handle(control::claim_requested{call, request.organisation, request.key, request.deadline});
}

void claim_loop::settle(const claim_settlement& settlement) {
  handle(control::run_ended{settlement.claim, to_run_outcome(settlement.outcome)});
}

void claim_loop::handle(const control::claim_event& input) {
  std::vector<control::claim_action> actions;
  control::step(*claims_, input, support::monotonic_now(), random_, actions);
  for (const auto& action : actions) {
    std::visit([this](const auto& alternative) { perform(alternative); }, action);
  }
}

void claim_loop::perform(const control::platform_request& action) {
  send_platform_request_(action);
}

void claim_loop::perform(const control::claim_granted& action) {
  const auto found = pending_claims_.find(action.call);
  if (found == pending_claims_.end()) {
    return;
  }
  const auto pending = std::move(found->second);
  pending_claims_.erase(found);
  claim_decision decision;
  decision.claim = action.call;
  decision.may_run = control::begin_run(*claims_, action.call, support::monotonic_now());
  decision.valid_until = pending.request.deadline;
  if (!decision.may_run) {
    decision.code = result_code::deadline_exceeded;
    handle(control::run_ended{action.call, control::run_outcome::not_run});
  }
  pending.done(decision);
}

void claim_loop::perform(const control::claim_refused& action) {
  const auto found = pending_claims_.find(action.call);
  if (found == pending_claims_.end()) {
    return;
  }
  const auto pending = std::move(found->second);
  pending_claims_.erase(found);
  claim_decision decision;
  decision.code = action.code;
  decision.outcome = outcome_of(action);
  pending.done(decision);
}

void claim_loop::perform(const control::claim_settled& /*action*/) {}

void claim_loop::perform(const control::key_answer& action) {
  if (const auto found = pending_queries_.find(action.query); found != pending_queries_.end()) {
    const auto done = std::move(found->second);
    pending_queries_.erase(found);
    done(action);
  }
}

void claim_loop::perform(const control::set_claim_timer& action) {
  timer_.expires_after(support::time_until(action.at));
  timer_.async_wait([this](asio::error_code error) {
    if (!error) {
      handle(control::claim_timer_fired{});
    }
  });
}

std::string describe_key(const control::key_answer& answer) {
  nlohmann::json json = {{"known", answer.known}, {"claimed", answer.row.has_value()}};
  if (answer.row) {
    json["holder"] = answer.row->holder;
    if (answer.row->outcome) {
      json["outcome"] = control::outcome_name(*answer.row->outcome);
    }
  }
  return json.dump();
}

} // namespace acaciasill::daemon

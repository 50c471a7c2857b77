#include "entry_call.h"

#include <algorithm>

#include "acaciasill/daemon/trace.h"
#include "acaciasill/net/call_headers.h"
#include "acaciasill/net/http_text.h"
#include "acaciasill/support/log.h"

namespace acaciasill::daemon {

using support::result_code;

namespace {

constexpr std::uint16_t first_final_status = 200;

// Returns how the request that a call belongs to is known.
const char* parent_source(const entry_request& request) {
  if (!request.from_backend) {
    return "none";
  }
  if (!request.may_be_backend_call) {
    return "signed";
  }
  return request.stated_parent == request.call.id ? "stated" : "likely";
}

} // namespace

bool upstream_failed(const wire::call_reply& reply) {
  switch (reply.code) {
  case result_code::backend_unreachable:
  case result_code::backend_failed:
  case result_code::outcome_unknown:
  case result_code::peer_unreachable:
  case result_code::peer_lost:
  case result_code::peer_stalled:
  case result_code::peer_mismatch:
  case result_code::no_upstream:
    return !reply.overloaded_below;
  default:
    return false;
  }
}

bool upstream_was_reached(const wire::call_reply& reply) {
  switch (reply.code) {
  case result_code::peer_unreachable:
  case result_code::peer_lost:
  case result_code::peer_stalled:
  case result_code::backend_unreachable:
  case result_code::backend_replaced:
  case result_code::draining:
  case result_code::no_upstream:
  case result_code::not_ready:
    return false;
  default:
    return true;
  }
}

bool reply_was_lost(const wire::call_reply& reply) {
  return reply.code == result_code::peer_lost || reply.code == result_code::peer_stalled ||
         reply.code == result_code::peer_mismatch ||
         (reply.outcome == wire::outcome::unknown && reply.limit == 0 &&
          (reply.code == result_code::deadline_exceeded || reply.code == result_code::cancelled));
}

bool has_malformed_answer(const wire::call_reply& reply) {
  const bool has_answer =
      (reply.outcome == wire::outcome::completed && reply.code == result_code::ok) ||
      (reply.outcome == wire::outcome::failed && reply.code == result_code::backend_failed);
  if (!has_answer) {
    return false;
  }
  const bool has_final_status =
      reply.http_status >= first_final_status && net::is_valid_status(reply.http_status);
  return !has_final_status ||
         !std::all_of(reply.headers.begin(), reply.headers.end(), [](const auto& field) {
           return net::is_field_name(field.name) && net::is_field_value(field.value);
         });
}

void discard_answer(wire::call_reply& reply, bool idempotent) {
  reply.outcome = wire::outcome::unknown;
  reply.code = idempotent ? result_code::backend_failed : result_code::outcome_unknown;
  reply.http_status = support::describe(reply.code).http_status;
  reply.headers.clear();
  reply.body.clear();
}

void log_malformed_answer(const entry_call& call, const wire::call_reply& reply,
                          std::uint32_t dropped) {
  support::write_event(support::log_level::warning, "call",
                       "discarded malformed answer from another daemon",
                       {{"request", call.request.caller_id},
                        {"call", net::format_request_id(call.request.call.id)},
                        {"upstream", call.current.address},
                        {"status", std::to_string(reply.http_status)},
                        {"lines_dropped_before", std::to_string(dropped)}});
}

void log_call_end(const entry_call& call, const wire::call_reply& reply, support::time_point now,
                  std::uint32_t dropped) {
  const auto& request = call.request;
  const auto elapsed = support::whole_milliseconds(now - call.arrived);
  support::write_event(
      support::log_level::info, "call", "ended",
      {{"request", request.caller_id},
       {"call", net::format_request_id(request.call.id)},
       {"route", request.route},
       {"service", request.call.service},
       {"organisation", request.call.organisation},
       {"rank", std::to_string(request.call.rank)},
       {"from_backend", request.from_backend ? "true" : "false"},
       {"parent", parent_source(request)},
       {"upstream", call.current.address},
       {"attempts", std::to_string(call.attempts)},
       {"outcome", std::string(outcome_name(reply.outcome))},
       {"code", support::format_code(reply.code)},
       {"status", std::to_string(reply.http_status)},
       {"elapsed_ms", std::to_string(elapsed)},
       {"time_left_ms", std::to_string(support::whole_milliseconds(request.deadline - now))},
       {"retry_after_ms", std::to_string(reply.retry_after_ms)},
       {"lines_dropped_before", std::to_string(dropped)}});
}

} // namespace acaciasill::daemon

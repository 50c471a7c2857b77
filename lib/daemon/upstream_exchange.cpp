#include "upstream_exchange.h"

#include <algorithm>
#include <utility>

#include "acaciasill/daemon/call_context.h"
#include "acaciasill/net/call_headers.h"
#include "acaciasill/net/peer_settings.h"

namespace acaciasill::daemon {
namespace {

using support::result_code;

// Header field by which a backend server reports that it refused a call before starting it.
constexpr std::string_view not_started_field = "x-not-started";

constexpr std::uint16_t first_server_error = 500;

std::string priority_name(const model::snapshot& snapshot, std::uint8_t rank) {
  for (const auto& priority : snapshot.set().priorities) {
    if (priority.rank == rank) {
      return priority.name;
    }
  }
  return {};
}

bool says_not_started(const std::vector<wire::header_field>& fields) {
  return std::any_of(fields.begin(), fields.end(), [](const wire::header_field& field) {
    return net::same_field_name(field.name, not_started_field) && field.value == "true";
  });
}

wire::call_reply make_reply(wire::outcome outcome, result_code code) {
  wire::call_reply reply;
  reply.outcome = outcome;
  reply.code = code;
  reply.http_status = support::describe(code).http_status;
  reply.threshold = decide::accept_all;
  return reply;
}

wire::call_reply reply_to_answer(net::client_response response) {
  if (response.status == 503 && says_not_started(response.headers)) {
    return make_reply(wire::outcome::not_run, result_code::backend_shed);
  }
  const bool failed = response.status >= first_server_error;
  auto reply = make_reply(failed ? wire::outcome::failed : wire::outcome::completed,
                          failed ? result_code::backend_failed : result_code::ok);
  reply.http_status = response.status;
  for (auto& field : response.headers) {
    if (!net::is_connection_header(field.name) && !net::is_call_header(field.name)) {
      reply.headers.push_back(std::move(field));
    }
  }
  reply.body = std::move(response.body);
  return reply;
}

} // namespace

net::client_request make_backend_request(const board::configuration_view& view,
                                         const board::backend_target& target,
                                         const wire::call_request& request,
                                         support::time_point deadline, support::time_point now,
                                         support::hmac_signer& signer) {
  net::call_headers headers;
  headers.id = request.id;
  headers.organisation = request.organisation;
  headers.deadline = std::chrono::duration_cast<support::milliseconds>(deadline - now);
  headers.retry_budget = request.lent_attempts;
  headers.idempotency_key = request.idempotency_key;
  headers.context = format_context(
      {request.id, request.organisation, request.rank, request.depth, deadline}, signer);

  net::client_request result;
  if (const auto address = net::parse_peer_address(target.address); address.ok()) {
    result.address = *address;
  }
  result.target = request.target;
  headers.priority = priority_name(view.snapshot, request.rank);
  result.method = request.method;
  result.headers = request.headers;
  for (auto& field : net::format_call_headers(headers)) {
    result.headers.push_back(std::move(field));
  }
  result.body = request.body;
  result.timeout = *headers.deadline;
  result.repeatable = request.idempotent;
  return result;
}

wire::call_reply interpret_response(net::client_response response, bool idempotent) {
  switch (response.end) {
  case net::exchange_end::answered:
    return reply_to_answer(std::move(response));
  case net::exchange_end::not_sent:
    return make_reply(wire::outcome::not_run, result_code::backend_unreachable);
  case net::exchange_end::timed_out:
    return make_reply(wire::outcome::unknown, result_code::deadline_exceeded);
  case net::exchange_end::cancelled:
    return make_reply(wire::outcome::unknown, result_code::cancelled);
  case net::exchange_end::too_large:
    return make_reply(wire::outcome::failed, result_code::body_too_large);
  case net::exchange_end::broken:
    return make_reply(wire::outcome::unknown,
                      idempotent ? result_code::backend_failed : result_code::outcome_unknown);
  }
  return make_reply(wire::outcome::unknown, result_code::internal_error);
}

} // namespace acaciasill::daemon

#include "entry_answer.h"

#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "acaciasill/daemon/trace.h"
#include "acaciasill/decide/level.h"
#include "acaciasill/net/call_headers.h"
#include "acaciasill/support/result_code.h"

namespace acaciasill::daemon {
namespace {

using support::result_code;

constexpr std::uint32_t ms_per_second = 1000;

std::string error_body(result_code code, std::string_view text) {
  const nlohmann::json body = {{"code", support::format_code(code)}, {"text", text}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

void add_outcome(std::vector<wire::header_field>& headers, wire::outcome outcome,
                 result_code code) {
  headers.push_back({"x-outcome", std::string(outcome_name(outcome))});
  headers.push_back({"x-result-code", support::format_code(code)});
}

void add_retry_after(std::vector<wire::header_field>& headers, std::uint32_t retry_after_ms) {
  if (retry_after_ms == 0) {
    return;
  }
  const auto whole_seconds = (retry_after_ms + ms_per_second - 1) / ms_per_second;
  headers.push_back({"retry-after", std::to_string(whole_seconds)});
  headers.push_back({"retry-after-ms", std::to_string(retry_after_ms)});
}

} // namespace

net::http_response make_answer(const wire::request_id& id, wire::call_reply reply) {
  net::http_response answer;
  answer.status = reply.http_status;
  answer.headers = std::move(reply.headers);
  answer.body = std::move(reply.body);
  const bool answered =
      (reply.outcome == wire::outcome::completed && reply.code == result_code::ok) ||
      (reply.outcome == wire::outcome::failed && reply.code == result_code::backend_failed);
  if (!answered) {
    const auto& row = support::describe(reply.code);
    answer.status = row.http_status;
    answer.headers = {{"content-type", "application/json"}};
    answer.body = error_body(reply.code, row.text);
  }
  answer.headers.push_back({"x-request-id", net::format_request_id(id)});
  add_outcome(answer.headers, reply.outcome, reply.code);
  add_retry_after(answer.headers, reply.retry_after_ms);
  return answer;
}

wire::call_reply refusal_reply(result_code code, std::uint32_t retry_after_ms) {
  wire::call_reply reply;
  reply.outcome = wire::outcome::not_run;
  reply.code = code;
  reply.http_status = support::describe(code).http_status;
  reply.threshold = decide::accept_all;
  reply.retry_after_ms = retry_after_ms;
  return reply;
}

net::http_response make_error_answer(const absl::Status& status) {
  const auto code = support::code_of(status);
  net::http_response answer;
  answer.status = support::describe(code).http_status;
  answer.headers = {{"content-type", "application/json"}};
  answer.body = error_body(code, std::string(status.message()));
  add_outcome(answer.headers, wire::outcome::not_run, code);
  return answer;
}

} // namespace acaciasill::daemon

#ifndef ACACIASILL_LIB_DAEMON_ENTRY_ANSWER_H
#define ACACIASILL_LIB_DAEMON_ENTRY_ANSWER_H

#include <cstdint>

#include "absl/status/status.h"

#include "acaciasill/net/http_server.h"
#include "acaciasill/wire/call.h"

// HTTP responses to calls.
namespace acaciasill::daemon {

// Builds the response for a reply, including the headers that report the outcome.
net::http_response make_answer(const wire::request_id& id, wire::call_reply reply);

// Builds the reply for a call that was refused before any attempt was sent.
wire::call_reply refusal_reply(support::result_code code, std::uint32_t retry_after_ms = 0);

// Builds the response for a request that could not be parsed.
net::http_response make_error_answer(const absl::Status& status);

} // namespace acaciasill::daemon

#endif

#ifndef ACACIASILL_LIB_DAEMON_ENTRY_ANSWER_H
#define ACACIASILL_LIB_DAEMON_ENTRY_ANSWER_H

#include <cstdint>

#include "absl/status/status.h"

#include "acaciasill/net/http_server.h"
#include "acaciasill/wire/call.h"

// The HTTP answers to calls.
namespace acaciasill::daemon {

// The answer for a reply, with the headers that tell the outcome.
net::http_response make_answer(const wire::request_id& id, wire::call_reply reply);

// A reply for a call that was refused before it was sent anywhere.
wire::call_reply refusal_reply(support::result_code code, std::uint32_t retry_after_ms = 0);

// The answer for a request that could not be understood.
net::http_response make_error_answer(const absl::Status& status);

} // namespace acaciasill::daemon

#endif

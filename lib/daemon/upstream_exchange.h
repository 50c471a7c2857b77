#ifndef ACACIASILL_LIB_DAEMON_UPSTREAM_EXCHANGE_H
#define ACACIASILL_LIB_DAEMON_UPSTREAM_EXCHANGE_H

#include "acaciasill/board/views.h"
#include "acaciasill/net/http_client.h"
#include "acaciasill/support/time.h"
#include "acaciasill/wire/call.h"

namespace acaciasill::support {
class hmac_signer;
}

// Requests to the local backend server and the interpretation of its responses.
namespace acaciasill::daemon {

// Builds the HTTP request for a call, with the headers that the server forwards with its own calls.
net::client_request make_backend_request(const board::configuration_view& view,
                                         const board::backend_target& target,
                                         const wire::call_request& request,
                                         support::time_point deadline, support::time_point now,
                                         support::hmac_signer& signer);

// Translates the response into a reply with the outcome of the call.
wire::call_reply interpret_response(net::client_response response, bool idempotent);

} // namespace acaciasill::daemon

#endif

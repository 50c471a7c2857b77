#ifndef ACACIASILL_DAEMON_EDGE_PROTOCOL_H
#define ACACIASILL_DAEMON_EDGE_PROTOCOL_H

#include <functional>
#include <string>

#include "absl/status/statusor.h"

#include "acaciasill/board/views.h"
#include "acaciasill/daemon/entry_request.h"
#include "acaciasill/net/http_client.h"
#include "acaciasill/net/http_server.h"
#include "acaciasill/support/time.h"
#include "acaciasill/wire/call.h"

// The HTTP protocol between a daemon and its callers and backend server: interpretation of header
// fields and mapping of results to responses. A platform may replace the native protocol.
namespace acaciasill::daemon {

struct request_thread;

// Functions of one protocol. The struct is plain data and shared by all request threads.
struct edge_protocol {
  // Header field of the caller's request id.
  std::string request_id_field = "x-request-id";

  // Parses a request using the configuration in force. On success it may move parts out of the
  // request. Errors are answered with answer_error.
  std::function<absl::StatusOr<entry_request>(const board::configuration_view&, net::http_request&,
                                              request_thread&, support::time_point now)>
      read_request;

  // Builds the response for a completed call.
  std::function<net::http_response(const entry_request&, wire::call_reply)> answer_call;

  // Builds the response for a request that was rejected before it became a call.
  std::function<net::http_response(const net::http_request&, const absl::Status&)> answer_error;

  // Builds the request to the local backend server for a call.
  std::function<net::client_request(const board::configuration_view&, const board::backend_target&,
                                    const wire::call_request&, request_thread&,
                                    support::time_point deadline, support::time_point now)>
      make_backend_request;

  // Translates the backend server's response into a call reply.
  std::function<wire::call_reply(const wire::call_request&, net::client_response)>
      interpret_response;
};

// Returns the native protocol, specified in docs/ARCHITECTURE.md and docs/CONFIGURATION.md.
edge_protocol native_protocol();

} // namespace acaciasill::daemon

#endif

#ifndef ACACIASILL_DAEMON_EDGE_PROTOCOL_H
#define ACACIASILL_DAEMON_EDGE_PROTOCOL_H

#include <functional>

#include "absl/status/statusor.h"

#include "acaciasill/board/views.h"
#include "acaciasill/daemon/entry_request.h"
#include "acaciasill/net/http_client.h"
#include "acaciasill/net/http_server.h"
#include "acaciasill/support/time.h"
#include "acaciasill/wire/call.h"

// How callers and the local backend server are spoken to: what their header fields mean and which
// answers they get. The daemon has one of its own; a platform may bring another.
namespace acaciasill::daemon {

struct request_thread;

// The functions of one protocol; plain data, shared by all request threads.
struct edge_protocol {
  // Reads a request by the configuration in force. It may take parts of the request where it
  // succeeds. Its errors are answered with answer_error.
  std::function<absl::StatusOr<entry_request>(const board::configuration_view&, net::http_request&,
                                              request_thread&, support::time_point now)>
      read_request;

  // The answer for a call that ended.
  std::function<net::http_response(const entry_request&, wire::call_reply)> answer_call;

  // The answer for a request that was not taken as a call.
  std::function<net::http_response(const net::http_request&, const absl::Status&)> answer_error;

  // The exchange with the local backend server for a call.
  std::function<net::client_request(const board::configuration_view&, const board::backend_target&,
                                    const wire::call_request&, request_thread&,
                                    support::time_point deadline, support::time_point now)>
      make_backend_request;

  // What the backend server's response says became of the call.
  std::function<wire::call_reply(const wire::call_request&, net::client_response)>
      interpret_response;
};

// The daemon's own protocol, as docs/ARCHITECTURE.md and docs/CONFIGURATION.md describe it.
edge_protocol own_protocol();

} // namespace acaciasill::daemon

#endif

#include "acaciasill/daemon/edge_protocol.h"

#include <utility>

#include "entry_answer.h"
#include "upstream_exchange.h"

#include "acaciasill/daemon/request_thread.h"
#include "acaciasill/net/call_headers.h"

namespace acaciasill::daemon {
namespace {

absl::StatusOr<entry_request> read_native_request(const board::configuration_view& view,
                                                  net::http_request& request, request_thread& home,
                                                  support::time_point now) {
  const auto headers = net::parse_call_headers(request.headers);
  if (!headers.ok()) {
    return headers.status();
  }
  return read_entry_request(view, std::move(request), *headers, home.signer, now, home.random);
}

} // namespace

edge_protocol native_protocol() {
  edge_protocol protocol;
  protocol.read_request = read_native_request;
  protocol.answer_call = [](const entry_request& request, wire::call_reply reply) {
    return make_answer(request.call.id, std::move(reply));
  };
  protocol.answer_error = [](const net::http_request& /*request*/, const absl::Status& status) {
    return make_error_answer(status);
  };
  protocol.make_backend_request = [](const board::configuration_view& view,
                                     const board::backend_target& target,
                                     const wire::call_request& call, request_thread& home,
                                     support::time_point deadline, support::time_point now) {
    return make_backend_request(view, target, call, deadline, now, home.signer);
  };
  protocol.interpret_response = [](const wire::call_request& call, net::client_response response) {
    return interpret_response(std::move(response), call.idempotent);
  };
  return protocol;
}

} // namespace acaciasill::daemon

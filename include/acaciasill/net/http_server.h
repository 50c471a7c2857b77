#ifndef ACACIASILL_NET_HTTP_SERVER_H
#define ACACIASILL_NET_HTTP_SERVER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "acaciasill/support/time.h"
#include "acaciasill/wire/call.h"

namespace asio {
class io_context;
}

// An HTTP/1.1 server on one io_context, on Asio and http_parser. Requests of one connection may be
// pipelined; their responses leave in the order of the requests. docs/design/http-edges.md says why
// it is not RESTinio's server.
namespace acaciasill::net {

// A whole HTTP request; bodies are bounded by http_server_settings.
struct http_request {
  std::uint64_t connection = 0;
  // The address that the connection comes from, without the port.
  std::string remote_ip;
  std::string method;
  // Path and query as they came.
  std::string target;
  std::vector<wire::header_field> headers;
  std::string body;

  bool operator==(const http_request&) const = default;
};

// A whole HTTP response.
struct http_response {
  std::uint16_t status = 200;
  std::vector<wire::header_field> headers;
  std::string body;
  // Whether the connection ends with this response.
  bool close_connection = false;

  bool operator==(const http_response&) const = default;
};

// Answers one request, once, on the server's thread.
using http_responder = std::function<void(http_response)>;

// How a server listens and what it accepts.
struct http_server_settings {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  // Lets several servers of one process share the port, one on each thread.
  bool share_port = false;
  std::size_t max_body_bytes = std::size_t{1} << 20U;
  // The request line's target and all header fields together.
  std::size_t max_header_bytes = 16384;
  // The longest time from a request's first byte to the end of its header.
  support::milliseconds header_timeout{10000};
  // The time without a request after which a connection is closed, and the longest time that a
  // body or a response may stand still.
  support::milliseconds idle_timeout{75000};
  // Requests of one connection that may wait for their responses; reading stops there.
  std::size_t max_pipelined = 32;

  bool operator==(const http_server_settings&) const = default;
};

// What a server calls; both run on the thread of its io_context.
struct http_server_callbacks {
  std::function<void(http_request, http_responder)> on_request;
  // The connection closed; requests of it that have no answer yet have no caller any more.
  std::function<void(std::uint64_t connection)> on_closed;
};

// A listening server. Closes when destroyed; the io_context must outlive it.
class http_server {
public:
  http_server(asio::io_context& context, const http_server_settings& settings,
              http_server_callbacks callbacks);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // Binds and starts to accept; port_in_use where the address cannot be bound.
  absl::Status open();

  // Stops accepting; connections that are open go on. From any thread.
  void close();

  // Changes the bounds on what callers may send; for connections that are open as well.
  void set_limits(const http_server_settings& settings);

  // From now on every response ends its connection.
  void set_draining();

  // Closes the connections on which no request waits, and returns how many are left open.
  std::size_t close_idle();

  // The port that it listens on, once open.
  std::uint16_t port() const;

private:
  struct implementation;
  std::shared_ptr<implementation> implementation_;
};

// Checks that nobody listens on the address and returns its port, a free one for port 0. Servers
// that share a port could not notice another process on it.
absl::StatusOr<std::uint16_t> reserve_port(const std::string& address, std::uint16_t port);

// The standard reason phrase of an HTTP status.
std::string reason_phrase(std::uint16_t status);

} // namespace acaciasill::net

#endif

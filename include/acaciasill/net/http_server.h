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

// HTTP/1.1 server on one io_context, built on Asio and http_parser. Requests of one connection may
// be pipelined; responses are sent in the order of the requests. docs/design/http-edges.md explains
// why RESTinio's server is not used.
namespace acaciasill::net {

// Complete HTTP request. http_server_settings limits the body.
struct http_request {
  std::uint64_t connection = 0;
  // IP address of the peer, without the port.
  std::string remote_ip;
  std::string method;
  // Path and query exactly as received.
  std::string target;
  std::vector<wire::header_field> headers;
  std::string body;

  bool operator==(const http_request&) const = default;
};

// Complete HTTP response.
struct http_response {
  std::uint16_t status = 200;
  std::vector<wire::header_field> headers;
  std::string body;
  // Whether the server closes the connection after this response.
  bool close_connection = false;

  bool operator==(const http_response&) const = default;
};

// Sends the response to one request. Must be called at most once, on the server's thread.
using http_responder = std::function<void(http_response)>;

// Listening address and limits of a server.
struct http_server_settings {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  // Whether several servers of one process may share the port, one per thread.
  bool share_port = false;
  std::size_t max_body_bytes = std::size_t{1} << 20U;
  // Maximum total size of the request target and all header fields.
  std::size_t max_header_bytes = 16384;
  // Maximum time from the first byte of a request to the end of its header.
  support::milliseconds header_timeout{10000};
  // Time after which an idle connection is closed, and the maximum time without progress while a
  // body or a response is transferred.
  support::milliseconds idle_timeout{75000};
  // Maximum number of requests of one connection that await a response. The server stops reading
  // from the connection at this limit.
  std::size_t max_pipelined = 32;

  bool operator==(const http_server_settings&) const = default;
};

// Callbacks of a server. Both run on the thread of its io_context.
struct http_server_callbacks {
  std::function<void(http_request, http_responder)> on_request;
  // Called when a connection is closed. Responses to its outstanding requests are discarded.
  std::function<void(std::uint64_t connection)> on_closed;
};

// Listening HTTP server. The destructor stops accepting; the io_context must outlive the server.
class http_server {
public:
  http_server(asio::io_context& context, const http_server_settings& settings,
              http_server_callbacks callbacks);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // Binds the address and starts to accept connections. Errors: port_in_use if the address cannot
  // be bound.
  absl::Status open();

  // Stops accepting connections; open connections continue. May be called from any thread.
  void close();

  // Changes the size limits and timeouts for requests, on open connections as well.
  void set_limits(const http_server_settings& settings);

  // Makes every further response close its connection.
  void set_draining();

  // Number of connections with a response that is not written completely. May be called from any
  // thread.
  std::size_t writing_connections() const;

  // Closes the connections without an outstanding request and returns the number still open.
  std::size_t close_idle();

  // Closes the listening socket and all connections without answering their requests, as the end of
  // the process would.
  void abort();

  // Bound port; valid once open() has succeeded.
  std::uint16_t port() const;

private:
  struct implementation;
  std::shared_ptr<implementation> implementation_;
};

// Checks that no process listens on the address and returns the port, or a free port if port is 0.
// The port is not held. Servers with share_port cannot detect that another process uses the port.
absl::StatusOr<std::uint16_t> check_port_available(const std::string& address, std::uint16_t port);

// Standard reason phrase of an HTTP status.
std::string reason_phrase(std::uint16_t status);

} // namespace acaciasill::net

#endif

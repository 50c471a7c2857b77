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

#include "acaciasill/wire/call.h"

namespace asio {
class io_context;
}

// An HTTP/1.1 server on one io_context, by RESTinio behind a narrow interface, so that only one
// translation unit pays for its templates.
namespace acaciasill::net {

// A whole HTTP request; bodies are bounded by http_server_settings.
struct http_request {
  std::uint64_t connection = 0;
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
  std::size_t max_target_bytes = 8192;
  std::size_t max_header_bytes = 8192;
  std::size_t max_header_count = 100;

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

  // Stops accepting; connections that are open go on.
  void close();

  // The port that it listens on, once open.
  std::uint16_t port() const;

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

// Checks that nobody listens on the address and returns its port, a free one for port 0. Servers
// that share a port could not notice another process on it.
absl::StatusOr<std::uint16_t> reserve_port(const std::string& address, std::uint16_t port);

// The standard reason phrase of an HTTP status.
std::string reason_phrase(std::uint16_t status);

} // namespace acaciasill::net

#endif

#ifndef STANDIN_BACKEND_HTTP_CLIENT_H
#define STANDIN_BACKEND_HTTP_CLIENT_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "acaciasill/support/time.h"

namespace acaciasill::standin {

// A request from the server to its daemon.
struct client_request {
  std::string method = "GET";
  std::string url;
  // Header lines "name: value".
  std::vector<std::string> headers;
  std::string body;
  support::milliseconds timeout{2000};

  bool operator==(const client_request&) const = default;
};

// HTTP response; status 0 means that the connection failed or the request timed out.
struct client_reply {
  long status = 0;
  std::string body;

  bool operator==(const client_reply&) const = default;
};

// HTTP client that runs all requests on one background thread through libcurl's multi interface.
// Thread-safe.
class http_client {
public:
  using on_reply = std::function<void(client_reply)>;

  http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;
  // Aborts requests in flight without calling their callbacks.
  ~http_client();

  // Starts a request and returns its ticket; the callback runs on the client's thread.
  std::uint64_t submit(client_request request, on_reply callback);

  // Aborts the request and closes its connection. The callback is not called unless it is already
  // running.
  void cancel(std::uint64_t ticket);

private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace acaciasill::standin

#endif

#ifndef STANDIN_BACKEND_HTTP_CLIENT_H
#define STANDIN_BACKEND_HTTP_CLIENT_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "acaciasill/support/time.h"

namespace acaciasill::standin {

// A request that the server makes to its daemon.
struct client_request {
  std::string method = "GET";
  std::string url;
  // Whole header lines, "name: value".
  std::vector<std::string> headers;
  std::string body;
  support::milliseconds timeout{2000};

  bool operator==(const client_request&) const = default;
};

// The answer; status 0 stands for a connection that failed or timed out.
struct client_reply {
  long status = 0;
  std::string body;

  bool operator==(const client_reply&) const = default;
};

// Makes requests on one thread of its own through libcurl's multi interface. Thread-safe.
class http_client {
public:
  using on_reply = std::function<void(client_reply)>;

  http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;
  // Drops what is in flight without calling back.
  ~http_client();

  // Starts a request and returns its ticket; the callback runs on the client's thread.
  std::uint64_t submit(client_request request, on_reply callback);

  // Closes the request's connection. Its callback is dropped, unless it runs already.
  void cancel(std::uint64_t ticket);

private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace acaciasill::standin

#endif

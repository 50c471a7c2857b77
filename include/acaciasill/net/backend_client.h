#ifndef ACACIASILL_NET_BACKEND_CLIENT_H
#define ACACIASILL_NET_BACKEND_CLIENT_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "acaciasill/support/time.h"
#include "acaciasill/wire/call.h"

namespace asio {
class io_context;
}

// Sends calls to the local backend server over HTTP/1.1, by libcurl on one io_context's thread.
namespace acaciasill::net {

// One HTTP exchange to make.
struct backend_request {
  // "http://127.0.0.1:8080/path?query".
  std::string url;
  std::string method;
  std::vector<wire::header_field> headers;
  std::string body;
  support::milliseconds timeout{2000};
  // Whether libcurl may send the request again on a new connection where a kept one had died. A
  // call that is not idempotent goes out on a fresh connection, which libcurl never repeats on.
  bool repeatable = true;

  bool operator==(const backend_request&) const = default;
};

// How an exchange ended.
enum class backend_end : std::uint8_t {
  answered,  // A whole response arrived.
  not_sent,  // No connection, so no byte was sent.
  timed_out, // The time ran out; bytes may have been sent.
  broken,    // The connection failed; bytes may have been sent.
  too_large, // The response was over the limit.
  cancelled, // The caller cancelled the exchange.
};

// The response, where there is one.
struct backend_response {
  backend_end end = backend_end::broken;
  std::uint16_t status = 0;
  std::vector<wire::header_field> headers;
  std::string body;

  bool operator==(const backend_response&) const = default;
};

using backend_callback = std::function<void(backend_response)>;

// Makes exchanges concurrently. All functions run on the thread of the io_context.
class backend_client {
public:
  // max_connections bounds the connections that it keeps to the backend server; max_body_bytes
  // bounds a response.
  backend_client(asio::io_context& context, std::size_t max_connections,
                 std::size_t max_body_bytes);
  ~backend_client();
  backend_client(const backend_client&) = delete;
  backend_client& operator=(const backend_client&) = delete;

  // Starts an exchange and returns its id; the callback runs once, later.
  std::uint64_t send(backend_request request, backend_callback done);

  // Closes the exchange's connection; the callback runs with backend_end::cancelled.
  void cancel(std::uint64_t exchange);

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace acaciasill::net

#endif

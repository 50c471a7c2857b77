#ifndef ACACIASILL_NET_HTTP_CLIENT_H
#define ACACIASILL_NET_HTTP_CLIENT_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio/ip/tcp.hpp>

#include "acaciasill/support/time.h"
#include "acaciasill/wire/call.h"

namespace asio {
class io_context;
}

// An HTTP/1.1 client with kept connections on one io_context's thread, on Asio and http_parser: for
// the local backend server and for the platform's services.
namespace acaciasill::net {

// One HTTP exchange to make.
struct client_request {
  asio::ip::tcp::endpoint address;
  // Path and query.
  std::string target = "/";
  std::string method;
  // A Host field is added where there is none.
  std::vector<wire::header_field> headers;
  std::string body;
  support::milliseconds timeout{2000};
  support::milliseconds connect_timeout{1000};
  // Whether the request may be sent again on a new connection where a kept one ended before it
  // answered anything.
  bool repeatable = true;
  // A field of the request that responses repeat. A response in which it has another value belongs
  // to an earlier request and is dropped. Empty for none.
  std::string echoed_field;

  bool operator==(const client_request&) const = default;
};

// How an exchange ended.
enum class exchange_end : std::uint8_t {
  answered,  // A whole response arrived.
  not_sent,  // No connection, so no byte was sent.
  timed_out, // The time ran out; bytes may have been sent.
  broken,    // The connection failed or the response could not be read; bytes may have been sent.
  too_large, // The response was over the limit.
  cancelled, // The caller cancelled the exchange.
};

// The response, where there is one.
struct client_response {
  exchange_end end = exchange_end::broken;
  std::uint16_t status = 0;
  std::vector<wire::header_field> headers;
  std::string body;

  bool operator==(const client_response&) const = default;
};

using exchange_callback = std::function<void(client_response)>;

// Counters of a client, for metrics. Read on its thread.
struct http_client_counters {
  std::uint64_t connects = 0;
  // Responses that belonged to an earlier request, and bytes that followed a complete response.
  std::uint64_t foreign_responses = 0;
  std::uint64_t excess_bytes = 0;
};

// Makes exchanges concurrently. All functions run on the thread of the io_context.
class http_client {
public:
  // max_connections bounds the connections to one address, kept ones included; exchanges beyond it
  // wait for one. max_body_bytes bounds a response.
  http_client(asio::io_context& context, std::size_t max_connections, std::size_t max_body_bytes);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  // Starts an exchange and returns its id; the callback runs once, later.
  std::uint64_t send(client_request request, exchange_callback done);

  // Closes the exchange's connection; the callback runs with exchange_end::cancelled.
  void cancel(std::uint64_t exchange);

  // Closes all kept connections to the address that no exchange uses.
  void forget(const asio::ip::tcp::endpoint& address);

  const http_client_counters& counters() const;

private:
  struct implementation;
  std::shared_ptr<implementation> implementation_;
};

} // namespace acaciasill::net

#endif

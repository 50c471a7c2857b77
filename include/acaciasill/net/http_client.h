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

// HTTP/1.1 client with persistent connections, built on Asio and http_parser. It runs on the thread
// of one io_context and sends requests to the local backend server and to platform services.
namespace acaciasill::net {

// One HTTP request and its transport options.
struct client_request {
  asio::ip::tcp::endpoint address;
  // Path and query of the request.
  std::string target = "/";
  std::string method;
  // Header fields of the request. The client adds Host if it is missing.
  std::vector<wire::header_field> headers;
  std::string body;
  support::milliseconds timeout{2000};
  support::milliseconds connect_timeout{1000};
  // Whether running the request twice does no harm. Other requests use only connections that were
  // used a short time ago, since the server may be closing an older one.
  bool repeatable = true;
  // Whether the client sends a repeatable request again, on another connection, if a reused one
  // ends before any response byte. The server may have run the request by then, so a request that
  // is subject to a retry budget, an admission limit or a draining server leaves this to its
  // sender.
  bool resend_on_closed_connection = false;
  // Name of a request header field that the server copies into its response, or empty. A response
  // with a different value belongs to an earlier request and is discarded. After a response without
  // the field, the connection is closed, so that a late copy of it cannot answer another request.
  std::string correlation_field;

  bool operator==(const client_request&) const = default;
};

// How an exchange ended.
enum class exchange_end : std::uint8_t {
  answered,  // A complete response arrived.
  not_sent,  // No connection was established, so no byte was sent.
  timed_out, // The timeout expired; bytes may have been sent.
  broken,    // The connection failed or the response was malformed; bytes may have been sent.
  too_large, // The response exceeded a size limit, or all responses together theirs.
  cancelled, // The caller cancelled the exchange.
};

// Result of an exchange. The status, headers and body are set only for exchange_end::answered.
struct client_response {
  exchange_end end = exchange_end::broken;
  std::uint16_t status = 0;
  std::vector<wire::header_field> headers;
  std::string body;

  bool operator==(const client_response&) const = default;
};

using exchange_callback = std::function<void(client_response)>;

// Counters of a client, for metrics. They may be read only on the client's thread.
struct http_client_counters {
  std::uint64_t connections_opened = 0;
  // Responses discarded because they belong to an earlier request.
  std::uint64_t mismatched_responses = 0;
  // Responses without the correlation field of their request.
  std::uint64_t uncorrelated_responses = 0;
  // Exchanges ended because the incomplete responses exceeded their limit together.
  std::uint64_t over_buffer_limit = 0;
  // Bytes received after a complete response or on an idle connection.
  std::uint64_t excess_bytes = 0;
};

// Default limit on the memory of the incomplete responses of a client, in bytes.
inline constexpr std::size_t default_max_buffered_bytes = std::size_t{64} << 20U;

// Sends requests concurrently. All functions must be called on the thread of the io_context.
class http_client {
public:
  // max_connections limits the open connections per address, idle ones included; further exchanges
  // wait for a free connection. max_body_bytes limits the body of a response, max_buffered_bytes
  // the memory of all responses that are incomplete: beyond it, the largest one ends its exchange
  // with exchange_end::too_large, unless it is the only one.
  http_client(asio::io_context& context, std::size_t max_connections, std::size_t max_body_bytes,
              std::size_t max_buffered_bytes = default_max_buffered_bytes);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  // Starts an exchange and returns its id. The callback runs once, after send returns, unless the
  // client is destroyed first.
  std::uint64_t send(client_request request, exchange_callback done);

  // Closes the connection of the exchange; the callback runs with exchange_end::cancelled.
  void cancel(std::uint64_t exchange);

  // Closes all idle connections to the address.
  void close_idle_connections(const asio::ip::tcp::endpoint& address);

  const http_client_counters& counters() const;

private:
  struct implementation;
  std::shared_ptr<implementation> implementation_;
};

} // namespace acaciasill::net

#endif

#ifndef ACACIASILL_NET_HTTP_LOAD_CONNECTION_H
#define ACACIASILL_NET_HTTP_LOAD_CONNECTION_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <asio/ip/tcp.hpp>

// HTTP/1.1 client of the load tool: one connection that carries one call at a time and is kept
// alive between calls. The per-call cost is low, so that the client does not limit what is
// measured.
namespace acaciasill::net {

// Transport result of an attempt, as the client observes it.
enum class transport_result : std::uint8_t {
  answered,        // A complete HTTP response was received.
  connect_failed,  // The connection could not be established.
  connection_lost, // The connection failed before the response was complete.
  cancelled,       // The client closed the connection at its deadline.
};

// The parts of a response that the load tool evaluates.
struct load_response {
  transport_result result = transport_result::connection_lost;
  unsigned status = 0;
  // Values of the headers x-outcome and x-result-code; empty if absent.
  std::string outcome;
  std::string result_code;
  std::string body;
  bool keep_alive = false;

  bool operator==(const load_response&) const = default;
};

// One client connection. All member functions must be called on the thread that runs its
// io_context. Create it with std::make_shared. The callback is invoked exactly once per call.
class http_load_connection : public std::enable_shared_from_this<http_load_connection> {
public:
  using response_callback = std::function<void(load_response)>;

  http_load_connection(asio::io_context& io, asio::ip::tcp::endpoint target);
  ~http_load_connection();
  http_load_connection(const http_load_connection&) = delete;
  http_load_connection& operator=(const http_load_connection&) = delete;

  // Sends a serialised request and connects first if the connection is closed. At most one call may
  // be in flight.
  void send(std::string request, response_callback callback);

  // Closes the connection; a call in flight ends with transport_result::cancelled.
  void cancel();

  // True if another call can be sent without connecting again.
  bool is_open() const { return open_; }

private:
  struct parser;

  void connect();
  void write();
  void read();
  void finish(transport_result result);
  void close();

  asio::ip::tcp::socket socket_;
  asio::ip::tcp::endpoint target_;
  std::unique_ptr<parser> parser_;
  std::string request_;
  std::string buffer_;
  response_callback callback_;
  bool open_ = false;
};

// Serialises a request. A content-length header is added if there is a body or the method is POST
// or PUT. Each of the header lines must end with CRLF.
std::string format_request(const std::string& method, const std::string& host,
                           const std::string& target, const std::string& header_lines,
                           const std::string& body);

} // namespace acaciasill::net

#endif

#ifndef ACACIASILL_LIB_NET_CLIENT_CONNECTION_H
#define ACACIASILL_LIB_NET_CLIENT_CONNECTION_H

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <asio/ip/tcp.hpp>
#include <http_parser.h>

#include "acaciasill/net/http_client.h"
#include "acaciasill/net/http_text.h"
#include "acaciasill/support/time.h"

// A connection of an HTTP client; it carries one exchange at a time.
namespace acaciasill::net {

// State shared by the connections of one client.
struct client_shared_state {
  message_limits limits;
  // Limit on the memory of all incomplete responses together, in bytes.
  std::size_t max_buffered_bytes = 0;
  std::size_t buffered_bytes = 0;
  // Called when the limit is exceeded; closes connections until the rest is below it.
  std::function<void()> on_buffer_limit;
  http_client_counters counters;
  std::array<char, 65536> read_buffer{};
};

// Result of an exchange on a connection.
struct connection_result {
  client_response response;
  // Whether any byte of the request may have been sent.
  bool sent = false;
  // Whether any byte of a response arrived.
  bool response_started = false;
  // Whether the connection can carry another exchange.
  bool reusable = false;
};

// Connects, writes a request and reads its response. Between exchanges it detects when the server
// closes the connection or sends unsolicited bytes.
class client_connection : public std::enable_shared_from_this<client_connection> {
public:
  client_connection(asio::io_context& context, std::shared_ptr<client_shared_state> shared_state);

  // Starts an exchange, connecting first if necessary. on_done runs once, after start returns,
  // unless the connection is closed before.
  void start(const client_request& request, std::function<void(connection_result)> on_done);

  // Sets the callback for a connection that fails or is closed by the server while idle.
  void set_on_idle_close(std::function<void()> on_idle_close) {
    on_idle_close_ = std::move(on_idle_close);
  }

  // Closes the connection without calling any callback.
  void close();

  bool is_open() const { return connected_ && !closed_; }

  // Whether any byte of the current request may have been sent.
  bool has_sent() const { return sent_; }

  // Memory of the incomplete response, in bytes.
  std::size_t buffered_bytes() const { return buffered_bytes_; }

  // Time until which the connection may be reused, from the Keep-Alive header of the server.
  support::time_point usable_until() const { return usable_until_; }
  support::time_point idle_since() const { return idle_since_; }

  int on_message_begin();
  int on_field_name(std::string_view bytes);
  int on_field_value(std::string_view bytes);
  int on_headers_complete();
  int on_body(std::string_view bytes);
  int on_message_complete();

private:
  void connect(const asio::ip::tcp::endpoint& address);
  void write();
  void wait_until_readable();
  void read();
  void parse_bytes(std::size_t count);
  void handle_eof();
  bool is_mismatched_response() const;
  // Returns the correlation field of the response; null if it has none.
  const std::string* find_correlation() const;
  int discard_message();
  void set_buffered_bytes(std::size_t bytes);
  void finish(exchange_end end, bool reusable);
  void handle_idle_close();
  void parse_keep_alive_timeout();

  asio::ip::tcp::socket socket_;
  std::shared_ptr<client_shared_state> shared_state_;
  std::function<void(connection_result)> on_done_;
  std::function<void()> on_idle_close_;
  http_parser parser_{};
  http_message message_;
  // Number of messages that the current exchange has discarded.
  std::uint32_t discarded_messages_ = 0;
  std::size_t buffered_bytes_ = 0;
  // Number of fields in the head of the current message.
  std::size_t head_fields_ = 0;
  bool head_request_ = false;
  std::string correlation_field_;
  std::string correlation_value_;
  std::string output_;
  std::size_t output_offset_ = 0;
  bool connected_ = false;
  bool closed_ = false;
  bool exchange_active_ = false;
  bool sent_ = false;
  bool response_started_ = false;
  bool response_complete_ = false;
  bool writing_ = false;
  // Whether a write has failed, after which the end of the stream may be a reset.
  bool write_failed_ = false;
  bool waiting_until_readable_ = false;
  support::time_point usable_until_ = support::time_point::max();
  support::time_point idle_since_;
};

} // namespace acaciasill::net

#endif

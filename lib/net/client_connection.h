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

// One connection of an HTTP client, which carries one exchange at a time.
namespace acaciasill::net {

// What the connections of one client share.
struct client_environment {
  message_limits limits;
  http_client_counters counters;
  std::array<char, 65536> read_buffer{};
};

// How a connection ended its exchange.
struct connection_result {
  client_response response;
  // Whether any byte of the request may have been sent, and any of a response came.
  bool sent = false;
  bool answered_anything = false;
  // Whether the connection can carry another exchange.
  bool reusable = false;
};

// Connects, writes a request, reads its response, and between exchanges notices when the other side
// closes or sends bytes that nobody asked for.
class client_connection : public std::enable_shared_from_this<client_connection> {
public:
  client_connection(asio::io_context& context, std::shared_ptr<client_environment> environment);

  // Starts an exchange; the connection is opened first where it is not open. on_done runs later,
  // once, unless the connection is closed before.
  void start(const client_request& request, std::function<void(connection_result)> on_done);

  // What to call when the connection ends between exchanges.
  void set_on_lost(std::function<void()> on_lost) { on_lost_ = std::move(on_lost); }

  // Closes it; nothing is called.
  void close();

  bool is_open() const { return connected_ && !closed_; }

  // Whether any byte of the present request may have been sent.
  bool has_sent() const { return sent_; }

  // Until when the connection may be used again, as the other side said.
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
  void wait_for_bytes();
  void read();
  void take_bytes(std::size_t count);
  void take_end();
  bool is_foreign() const;
  void finish(exchange_end end, bool reusable);
  void lose();
  void note_keep_alive();

  asio::ip::tcp::socket socket_;
  std::shared_ptr<client_environment> environment_;
  std::function<void(connection_result)> on_done_;
  std::function<void()> on_lost_;
  http_parser parser_{};
  http_message message_;
  bool head_request_ = false;
  std::string echoed_field_;
  std::string echoed_value_;
  std::string output_;
  std::size_t output_at_ = 0;
  bool connected_ = false;
  bool closed_ = false;
  bool busy_ = false;
  bool sent_ = false;
  bool answered_anything_ = false;
  bool complete_ = false;
  bool writing_ = false;
  bool waiting_for_bytes_ = false;
  support::time_point usable_until_ = support::time_point::max();
  support::time_point idle_since_;
};

} // namespace acaciasill::net

#endif

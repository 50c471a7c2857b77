#ifndef ACACIASILL_LIB_NET_HTTP_CONNECTION_H
#define ACACIASILL_LIB_NET_HTTP_CONNECTION_H

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <asio/ip/tcp.hpp>
#include <http_parser.h>

#include "acaciasill/net/http_server.h"
#include "acaciasill/net/http_text.h"
#include "acaciasill/support/time.h"

// A connection of an HTTP server.
namespace acaciasill::net {

// State shared by the connections of one server; used only on the server's thread except for the
// atomic counter.
struct server_shared_state {
  http_server_settings settings;
  http_server_callbacks callbacks;
  bool draining = false;
  // Number of connections with a response that is not written completely.
  std::atomic<std::size_t> writing_connections{0};
  // Read buffer shared by all connections; its contents are consumed before the next read.
  std::array<char, 65536> read_buffer{};
};

// Reads requests, passes them to on_request, and writes the responses in request order.
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
  http_connection(asio::ip::tcp::socket socket, std::shared_ptr<server_shared_state> shared_state,
                  std::uint64_t id, std::function<void(std::uint64_t)> on_ended);

  void start();

  // Enforces the header, idle and linger timeouts.
  void check_timeouts(support::time_point now);

  // Whether no request awaits a response and none is being read.
  bool is_idle() const;

  // Closes the connection immediately, discards outstanding requests and calls on_closed.
  void close();

  int on_message_begin();
  int on_target(std::string_view bytes);
  int on_field_name(std::string_view bytes);
  int on_field_value(std::string_view bytes);
  int on_headers_complete();
  int on_body(std::string_view bytes);
  int on_message_complete();

private:
  // A request that awaits its response.
  struct pending_request {
    std::uint64_t number = 0;
    bool keep_alive = true;
    bool is_head = false;
    std::optional<http_response> response;
  };

  void wait_until_readable();
  void read();
  void parse_bytes(std::size_t count);
  void reject(std::uint16_t status);
  void respond(std::uint64_t number, http_response response);
  void write_ready_responses();
  void append_response(const pending_request& request, const http_response& response,
                       bool closes_connection);
  void write();
  void finish_writing();
  void shut_down_output();
  void count_as_writing(bool has_output);

  asio::ip::tcp::socket socket_;
  std::shared_ptr<server_shared_state> shared_state_;
  std::uint64_t id_;
  std::function<void(std::uint64_t)> on_ended_;
  std::string remote_ip_;
  http_parser parser_{};
  http_message message_;
  // Whether a request is being read, and whether its header is complete.
  bool reading_message_ = false;
  bool header_complete_ = false;
  // Whether no further requests are read, because an error was answered or the final response was
  // decided.
  bool input_ended_ = false;
  bool waiting_until_readable_ = false;
  std::deque<pending_request> pending_;
  std::uint64_t last_number_ = 0;
  std::string output_;
  std::size_t output_offset_ = 0;
  bool writing_ = false;
  bool counted_as_writing_ = false;
  bool close_after_output_ = false;
  bool output_shut_down_ = false;
  bool closed_ = false;
  support::time_point message_began_;
  support::time_point last_progress_;
};

} // namespace acaciasill::net

#endif

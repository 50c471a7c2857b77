#ifndef ACACIASILL_LIB_NET_HTTP_CONNECTION_H
#define ACACIASILL_LIB_NET_HTTP_CONNECTION_H

#include <array>
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

// One connection of an HTTP server.
namespace acaciasill::net {

// What the connections of one server share; lives on the server's thread.
struct connection_environment {
  http_server_settings settings;
  http_server_callbacks callbacks;
  bool draining = false;
  // Bytes that were just read, of whichever connection reads; a connection keeps none of its own.
  std::array<char, 65536> read_buffer{};
};

// Reads requests, hands them on, and writes the responses in the order of the requests.
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
  http_connection(asio::ip::tcp::socket socket, std::shared_ptr<connection_environment> environment,
                  std::uint64_t id, std::function<void(std::uint64_t)> on_ended);

  void start();

  // Closes the connection where one of its time limits has passed.
  void check_time_limits(support::time_point now);

  // Whether no request waits for its response and none is being read.
  bool is_idle() const;

  // Closes it at once; requests without a response are reported as closed.
  void close();

  int on_message_begin();
  int on_target(std::string_view bytes);
  int on_field_name(std::string_view bytes);
  int on_field_value(std::string_view bytes);
  int on_headers_complete();
  int on_body(std::string_view bytes);
  int on_message_complete();

private:
  // One request that waits for its response.
  struct pending {
    std::uint64_t number = 0;
    bool keep_alive = true;
    bool is_head = false;
    std::optional<http_response> response;
  };

  void wait_for_bytes();
  void read();
  void take_bytes(std::size_t count);
  void reject(std::uint16_t status);
  void respond(std::uint64_t number, http_response response);
  void write_ready_responses();
  void append_response(const pending& request, const http_response& response, bool ends);
  void write();
  void finish_writing();
  void end_output();

  asio::ip::tcp::socket socket_;
  std::shared_ptr<connection_environment> environment_;
  std::uint64_t id_;
  std::function<void(std::uint64_t)> on_ended_;
  std::string remote_ip_;
  http_parser parser_{};
  http_message message_;
  // Whether a request's bytes have begun to arrive, and whether its header is complete.
  bool reading_message_ = false;
  bool header_complete_ = false;
  // Nothing more is read as requests: an error was answered, or the output has ended.
  bool input_ended_ = false;
  bool waiting_for_bytes_ = false;
  std::deque<pending> pending_;
  std::uint64_t last_number_ = 0;
  std::string output_;
  std::size_t output_at_ = 0;
  bool writing_ = false;
  bool close_after_output_ = false;
  bool output_ended_ = false;
  bool closed_ = false;
  support::time_point message_began_;
  support::time_point last_progress_;
};

} // namespace acaciasill::net

#endif

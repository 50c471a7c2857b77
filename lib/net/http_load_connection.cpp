#include "acaciasill/net/http_load_connection.h"

#include <strings.h>

#include <asio/write.hpp>
#include <http_parser.h>

#include "acaciasill/net/http_text.h"

namespace acaciasill::net {
namespace {

constexpr std::size_t read_buffer_bytes = 16384;
// Limit on the body of an answer, the largest that a daemon accepts from a backend server.
constexpr std::size_t max_response_body_bytes = std::size_t{16} << 20U;
constexpr unsigned first_final_status = 200;
// Result of a parser callback that ends the call.
constexpr int parser_failure = -1;

bool equals_ignore_case(const std::string& left, const char* right) {
  return strcasecmp(left.c_str(), right) == 0;
}

} // namespace

// Parser state of the response that is being received.
struct http_load_connection::parser {
  http_parser state{};
  load_response response;
  std::string field;
  std::string value;
  bool in_value = false;
  bool complete = false;

  void reset() {
    http_parser_init(&state, HTTP_RESPONSE);
    state.data = this;
    response = load_response{};
    field.clear();
    value.clear();
    in_value = false;
    complete = false;
  }

  void store_header() {
    if (equals_ignore_case(field, "x-outcome")) {
      response.outcome = value;
    }
    if (equals_ignore_case(field, "x-result-code")) {
      response.result_code = value;
    }
    field.clear();
    value.clear();
    in_value = false;
  }

  static parser& get_parser(http_parser* state) { return *static_cast<parser*>(state->data); }

  static int on_field(http_parser* state, const char* data, std::size_t size) {
    auto& self = get_parser(state);
    // The name may arrive in parts, which may be empty.
    if (size != 0 && !is_field_name({data, size})) {
      return parser_failure;
    }
    if (self.in_value) {
      self.store_header();
    }
    self.field.append(data, size);
    return 0;
  }

  static int on_value(http_parser* state, const char* data, std::size_t size) {
    auto& self = get_parser(state);
    self.in_value = true;
    self.value.append(data, size);
    return 0;
  }

  static int on_headers(http_parser* state) {
    get_parser(state).store_header();
    return is_valid_status(state->status_code) ? 0 : parser_failure;
  }

  static int on_body(http_parser* state, const char* data, std::size_t size) {
    auto& body = get_parser(state).response.body;
    if (body.size() + size > max_response_body_bytes) {
      return parser_failure;
    }
    body.append(data, size);
    return 0;
  }

  static int on_complete(http_parser* state) {
    auto& self = get_parser(state);
    if (state->status_code < first_final_status) {
      self.response = load_response{};
      return 0;
    }
    self.complete = true;
    self.response.status = state->status_code;
    self.response.keep_alive = http_should_keep_alive(state) != 0;
    http_parser_pause(state, 1);
    return 0;
  }

  // Parses received bytes; false if they are not a valid HTTP response.
  bool parse(const char* data, std::size_t size) {
    static const http_parser_settings settings = [] {
      http_parser_settings callbacks;
      http_parser_settings_init(&callbacks);
      callbacks.on_header_field = &on_field;
      callbacks.on_header_value = &on_value;
      callbacks.on_headers_complete = &on_headers;
      callbacks.on_body = &on_body;
      callbacks.on_message_complete = &on_complete;
      return callbacks;
    }();
    const auto parsed = http_parser_execute(&state, &settings, data, size);
    if (complete) {
      // Bytes after the answer belong to no call.
      response.keep_alive = response.keep_alive && parsed == size;
      return true;
    }
    return parsed == size;
  }
};

http_load_connection::http_load_connection(asio::io_context& io, asio::ip::tcp::endpoint target)
    : socket_(io), target_(std::move(target)), parser_(std::make_unique<parser>()),
      buffer_(read_buffer_bytes, '\0') {}

http_load_connection::~http_load_connection() = default;

void http_load_connection::send(std::string request, response_callback callback) {
  request_ = std::move(request);
  callback_ = std::move(callback);
  parser_->reset();
  if (open_) {
    write();
    return;
  }
  connect();
}

void http_load_connection::connect() {
  socket_ = asio::ip::tcp::socket(socket_.get_executor());
  socket_.async_connect(target_, [self = shared_from_this()](const asio::error_code& error) {
    if (!self->callback_) {
      return;
    }
    if (error) {
      self->finish(transport_result::connect_failed);
      return;
    }
    asio::error_code ignored;
    self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    self->open_ = true;
    self->write();
  });
}

void http_load_connection::write() {
  asio::async_write(socket_, asio::buffer(request_),
                    [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                      if (!self->callback_) {
                        return;
                      }
                      if (error) {
                        self->finish(transport_result::connection_lost);
                        return;
                      }
                      self->read();
                    });
}

void http_load_connection::read() {
  socket_.async_read_some(
      asio::buffer(buffer_),
      [self = shared_from_this()](const asio::error_code& error, std::size_t size) {
        if (!self->callback_) {
          return;
        }
        if (error || !self->parser_->parse(self->buffer_.data(), size)) {
          self->finish(transport_result::connection_lost);
          return;
        }
        if (self->parser_->complete) {
          self->finish(transport_result::answered);
          return;
        }
        self->read();
      });
}

void http_load_connection::finish(transport_result result) {
  auto response = std::move(parser_->response);
  response.result = result;
  if (result != transport_result::answered || !response.keep_alive) {
    close();
  }
  const auto callback = std::exchange(callback_, nullptr);
  callback(std::move(response));
}

void http_load_connection::cancel() {
  if (callback_) {
    finish(transport_result::cancelled);
    return;
  }
  close();
}

void http_load_connection::close() {
  asio::error_code ignored;
  socket_.close(ignored);
  open_ = false;
}

std::string format_request(const std::string& method, const std::string& host,
                           const std::string& target, const std::string& header_lines,
                           const std::string& body) {
  std::string text;
  text.reserve(128 + target.size() + header_lines.size() + body.size());
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\nhost: ").append(host);
  text.append("\r\n").append(header_lines);
  if (!body.empty() || method == "POST" || method == "PUT") {
    text.append("content-length: ").append(std::to_string(body.size())).append("\r\n");
  }
  return text.append("\r\n").append(body);
}

} // namespace acaciasill::net

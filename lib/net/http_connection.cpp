#include "http_connection.h"

#include <algorithm>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/post.hpp>

#include "acaciasill/net/call_headers.h"
#include "acaciasill/support/log.h"
#include "acaciasill/support/result_code.h"

#include "parser_callbacks.h"

namespace acaciasill::net {
namespace {

// Maximum capacity that an output buffer retains between responses, in bytes.
constexpr std::size_t max_retained_output_bytes = 65536;
// Maximum time to keep reading after the output is shut down. Closing with unread input would send
// a reset, which may destroy the last response.
constexpr support::milliseconds linger_timeout{1000};
constexpr std::uint16_t first_final_status = 200;
constexpr std::uint16_t no_content = 204;
constexpr std::uint16_t not_modified = 304;

http_parser_settings make_parser_settings() {
  auto settings = parser_callbacks<http_connection>();
  settings.on_url = [](http_parser* parser, const char* bytes, std::size_t count) {
    return static_cast<http_connection*>(parser->data)->on_target({bytes, count});
  };
  return settings;
}

const http_parser_settings parser_settings = make_parser_settings();

bool has_no_body(std::uint16_t status) {
  return status < first_final_status || status == no_content || status == not_modified;
}

} // namespace

http_connection::http_connection(asio::ip::tcp::socket socket,
                                 std::shared_ptr<server_shared_state> shared_state,
                                 std::uint64_t id, std::function<void(std::uint64_t)> on_ended)
    : socket_(std::move(socket)), shared_state_(std::move(shared_state)), id_(id),
      on_ended_(std::move(on_ended)), last_progress_(support::monotonic_now()) {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  asio::error_code error;
  socket_.set_option(asio::ip::tcp::no_delay(true), error);
  socket_.non_blocking(true, error);
  if (const auto remote = socket_.remote_endpoint(error); !error) {
    remote_ip_ = remote.address().to_string();
  }
}

void http_connection::start() {
  wait_until_readable();
}

bool http_connection::is_idle() const {
  return pending_.empty() && !reading_message_ && !writing_;
}

void http_connection::wait_until_readable() {
  const bool has_room = pending_.size() < shared_state_->settings.max_pipelined;
  if (closed_ || waiting_until_readable_ || (!has_room && !output_shut_down_)) {
    return;
  }
  waiting_until_readable_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](asio::error_code error) {
                       self->waiting_until_readable_ = false;
                       if (!error && !self->closed_) {
                         self->read();
                       }
                     });
}

void http_connection::read() {
  asio::error_code error;
  const auto count = socket_.read_some(asio::buffer(shared_state_->read_buffer), error);
  if (error == asio::error::would_block) {
    wait_until_readable();
    return;
  }
  if (error) {
    close();
    return;
  }
  last_progress_ = support::monotonic_now();
  // After the final response, input is read and discarded so that closing does not send a reset.
  if (!input_ended_) {
    parse_bytes(count);
  }
  wait_until_readable();
}

void http_connection::parse_bytes(std::size_t count) {
  const auto parsed =
      http_parser_execute(&parser_, &parser_settings, shared_state_->read_buffer.data(), count);
  if (closed_ || input_ended_) {
    return;
  }
  if (message_.error == message_error::header_too_large) {
    reject(431);
    return;
  }
  if (message_.error == message_error::body_too_large) {
    reject(413);
    return;
  }
  if (parser_.upgrade != 0 || parsed != count) {
    reject(400);
  }
}

int http_connection::on_message_begin() {
  message_ = {};
  reading_message_ = true;
  header_complete_ = false;
  message_began_ = support::monotonic_now();
  return 0;
}

int http_connection::on_target(std::string_view bytes) {
  return append_target(
      message_, bytes,
      {shared_state_->settings.max_header_bytes, shared_state_->settings.max_body_bytes});
}

int http_connection::on_field_name(std::string_view bytes) {
  return append_field_name(
      message_, bytes,
      {shared_state_->settings.max_header_bytes, shared_state_->settings.max_body_bytes});
}

int http_connection::on_field_value(std::string_view bytes) {
  return append_field_value(
      message_, bytes,
      {shared_state_->settings.max_header_bytes, shared_state_->settings.max_body_bytes});
}

int http_connection::on_headers_complete() {
  header_complete_ = true;
  const auto* expectation = find_field(message_.headers, "expect");
  if (expectation != nullptr && same_field_name(*expectation, "100-continue") && pending_.empty()) {
    output_.append("HTTP/1.1 100 Continue\r\n\r\n");
    write();
  }
  return 0;
}

int http_connection::on_body(std::string_view bytes) {
  return append_body(
      message_, bytes,
      {shared_state_->settings.max_header_bytes, shared_state_->settings.max_body_bytes});
}

int http_connection::on_message_complete() {
  reading_message_ = false;
  http_request request;
  request.connection = id_;
  request.remote_ip = remote_ip_;
  request.method = http_method_str(static_cast<http_method>(parser_.method));
  request.target = std::move(message_.target);
  request.headers = std::move(message_.headers);
  request.body = std::move(message_.body);
  message_ = {};
  pending_.push_back({++last_number_, http_should_keep_alive(&parser_) != 0,
                      parser_.method == HTTP_HEAD, std::nullopt});
  shared_state_->callbacks.on_request(
      std::move(request), [weak = weak_from_this(), number = last_number_](http_response response) {
        if (const auto self = weak.lock()) {
          self->respond(number, std::move(response));
        }
      });
  // Returning 1 stops the parser: input after a request that ends its connection is ignored.
  return closed_ || input_ended_ ? 1 : 0;
}

// Answers an invalid request with an error, after the responses to earlier requests.
void http_connection::reject(std::uint16_t status) {
  input_ended_ = true;
  support::write_log(support::log_level::warning, "http",
                     support::format_code(support::result_code::bad_request) + " request from " +
                         remote_ip_ + " rejected with status " + std::to_string(status) + ": " +
                         http_errno_description(HTTP_PARSER_ERRNO(&parser_)));
  pending_.push_back({++last_number_, false, false, std::nullopt});
  respond(last_number_, {status, {}, "", true});
}

void http_connection::respond(std::uint64_t number, http_response response) {
  if (closed_) {
    return;
  }
  const auto entry = std::find_if(pending_.begin(), pending_.end(), [number](const auto& request) {
    return request.number == number;
  });
  if (entry == pending_.end() || entry->response) {
    return;
  }
  entry->response = std::move(response);
  if (entry == pending_.begin()) {
    write_ready_responses();
  }
}

void http_connection::write_ready_responses() {
  while (!pending_.empty() && pending_.front().response && !close_after_output_) {
    const auto request = std::move(pending_.front());
    pending_.pop_front();
    const bool closes_connection =
        shared_state_->draining || request.response->close_connection || !request.keep_alive;
    append_response(request, *request.response, closes_connection);
    if (closes_connection) {
      close_after_output_ = true;
      input_ended_ = true;
    }
  }
  write();
  wait_until_readable();
}

void http_connection::append_response(const pending_request& request, const http_response& response,
                                      bool closes_connection) {
  output_.append("HTTP/1.1 ");
  output_.append(std::to_string(response.status));
  output_.append(" ");
  output_.append(reason_phrase(response.status));
  output_.append("\r\n");
  for (const auto& [name, value] : response.headers) {
    if (!same_field_name(name, "content-length")) {
      append_field(output_, name, value);
    }
  }
  if (!has_no_body(response.status)) {
    append_field(output_, "Content-Length", std::to_string(response.body.size()));
  }
  if (closes_connection) {
    append_field(output_, "Connection", "close");
  }
  output_.append("\r\n");
  if (!request.is_head && !has_no_body(response.status)) {
    output_.append(response.body);
  }
}

void http_connection::write() {
  while (!writing_ && !closed_ && output_offset_ < output_.size()) {
    asio::error_code error;
    const auto count = socket_.write_some(
        asio::buffer(output_.data() + output_offset_, output_.size() - output_offset_), error);
    if (error == asio::error::would_block) {
      writing_ = true;
      count_as_writing(true);
      socket_.async_wait(asio::ip::tcp::socket::wait_write,
                         [self = shared_from_this()](asio::error_code failure) {
                           self->writing_ = false;
                           if (!failure) {
                             self->write();
                           }
                         });
      return;
    }
    if (error) {
      // Deferred, because the parser may be on the call stack.
      asio::post(socket_.get_executor(), [self = shared_from_this()] { self->close(); });
      return;
    }
    output_offset_ += count;
    last_progress_ = support::monotonic_now();
  }
  if (!writing_ && !closed_) {
    finish_writing();
  }
}

void http_connection::count_as_writing(bool has_output) {
  if (std::exchange(counted_as_writing_, has_output) == has_output) {
    return;
  }
  auto& count = shared_state_->writing_connections;
  has_output ? count.fetch_add(1, std::memory_order_relaxed)
             : count.fetch_sub(1, std::memory_order_relaxed);
}

void http_connection::finish_writing() {
  output_.clear();
  output_offset_ = 0;
  count_as_writing(false);
  if (output_.capacity() > max_retained_output_bytes) {
    output_.shrink_to_fit();
  }
  if (close_after_output_) {
    shut_down_output();
  }
}

void http_connection::shut_down_output() {
  if (std::exchange(output_shut_down_, true)) {
    return;
  }
  asio::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  last_progress_ = support::monotonic_now();
}

void http_connection::check_timeouts(support::time_point now) {
  const auto& settings = shared_state_->settings;
  if (output_shut_down_) {
    if (now - last_progress_ > linger_timeout) {
      close();
    }
    return;
  }
  if (reading_message_ && !header_complete_ && now - message_began_ > settings.header_timeout) {
    if (!input_ended_) {
      reject(408);
    }
    return;
  }
  const bool awaits_response = !pending_.empty() && !writing_;
  if (!awaits_response && now - last_progress_ > settings.idle_timeout) {
    close();
  }
}

void http_connection::close() {
  if (std::exchange(closed_, true)) {
    return;
  }
  count_as_writing(false);
  asio::error_code ignored;
  socket_.close(ignored);
  pending_.clear();
  if (shared_state_->callbacks.on_closed) {
    shared_state_->callbacks.on_closed(id_);
  }
  on_ended_(id_);
}

} // namespace acaciasill::net

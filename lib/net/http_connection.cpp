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

// The space that an output buffer keeps between responses, in bytes.
constexpr std::size_t keep_output_bytes = 65536;
// The longest time for which an ended connection still reads, so that its last response is not
// destroyed by a reset.
constexpr support::milliseconds linger_time{1000};
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

bool carries_no_body(std::uint16_t status) {
  return status < first_final_status || status == no_content || status == not_modified;
}

} // namespace

http_connection::http_connection(asio::ip::tcp::socket socket,
                                 std::shared_ptr<connection_environment> environment,
                                 std::uint64_t id, std::function<void(std::uint64_t)> on_ended)
    : socket_(std::move(socket)), environment_(std::move(environment)), id_(id),
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
  wait_for_bytes();
}

bool http_connection::is_idle() const {
  return pending_.empty() && !reading_message_ && !writing_;
}

void http_connection::wait_for_bytes() {
  const bool has_room = pending_.size() < environment_->settings.max_pipelined;
  if (closed_ || waiting_for_bytes_ || (!has_room && !output_ended_)) {
    return;
  }
  waiting_for_bytes_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](asio::error_code error) {
                       self->waiting_for_bytes_ = false;
                       if (!error && !self->closed_) {
                         self->read();
                       }
                     });
}

void http_connection::read() {
  asio::error_code error;
  const auto count = socket_.read_some(asio::buffer(environment_->read_buffer), error);
  if (error == asio::error::would_block) {
    wait_for_bytes();
    return;
  }
  if (error) {
    close();
    return;
  }
  last_progress_ = support::monotonic_now();
  // Once the last response was decided, bytes are read only to keep the close from being a reset.
  if (!input_ended_) {
    take_bytes(count);
  }
  wait_for_bytes();
}

void http_connection::take_bytes(std::size_t count) {
  const auto parsed =
      http_parser_execute(&parser_, &parser_settings, environment_->read_buffer.data(), count);
  if (closed_ || input_ended_) {
    return;
  }
  if (message_.fault == message_fault::header_too_large) {
    reject(431);
    return;
  }
  if (message_.fault == message_fault::body_too_large) {
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
  return take_target(
      message_, bytes,
      {environment_->settings.max_header_bytes, environment_->settings.max_body_bytes});
}

int http_connection::on_field_name(std::string_view bytes) {
  return take_field_name(
      message_, bytes,
      {environment_->settings.max_header_bytes, environment_->settings.max_body_bytes});
}

int http_connection::on_field_value(std::string_view bytes) {
  return take_field_value(
      message_, bytes,
      {environment_->settings.max_header_bytes, environment_->settings.max_body_bytes});
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
  return take_body(
      message_, bytes,
      {environment_->settings.max_header_bytes, environment_->settings.max_body_bytes});
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
  environment_->callbacks.on_request(
      std::move(request), [weak = weak_from_this(), number = last_number_](http_response response) {
        if (const auto self = weak.lock()) {
          self->respond(number, std::move(response));
        }
      });
  // What follows a request that ends its connection is not read.
  return closed_ || input_ended_ ? 1 : 0;
}

// Answers what cannot be read as a request, after the responses that are due before it.
void http_connection::reject(std::uint16_t status) {
  input_ended_ = true;
  support::write_log(support::log_level::warning, "http",
                     support::format_code(support::result_code::bad_request) + " a request from " +
                         remote_ip_ + " was rejected with status " + std::to_string(status) + ": " +
                         http_errno_description(HTTP_PARSER_ERRNO(&parser_)));
  pending_.push_back({++last_number_, false, false, std::nullopt});
  respond(last_number_, {status, {}, "", true});
}

void http_connection::respond(std::uint64_t number, http_response response) {
  if (closed_) {
    return;
  }
  const auto place = std::find_if(pending_.begin(), pending_.end(), [number](const auto& request) {
    return request.number == number;
  });
  if (place == pending_.end() || place->response) {
    return;
  }
  place->response = std::move(response);
  if (place == pending_.begin()) {
    write_ready_responses();
  }
}

void http_connection::write_ready_responses() {
  while (!pending_.empty() && pending_.front().response && !close_after_output_) {
    const auto request = std::move(pending_.front());
    pending_.pop_front();
    const bool ends =
        environment_->draining || request.response->close_connection || !request.keep_alive;
    append_response(request, *request.response, ends);
    if (ends) {
      close_after_output_ = true;
      input_ended_ = true;
    }
  }
  write();
  wait_for_bytes();
}

void http_connection::append_response(const pending& request, const http_response& response,
                                      bool ends) {
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
  if (!carries_no_body(response.status)) {
    append_field(output_, "Content-Length", std::to_string(response.body.size()));
  }
  if (ends) {
    append_field(output_, "Connection", "close");
  }
  output_.append("\r\n");
  if (!request.is_head && !carries_no_body(response.status)) {
    output_.append(response.body);
  }
}

void http_connection::write() {
  while (!writing_ && !closed_ && output_at_ < output_.size()) {
    asio::error_code error;
    const auto count = socket_.write_some(
        asio::buffer(output_.data() + output_at_, output_.size() - output_at_), error);
    if (error == asio::error::would_block) {
      writing_ = true;
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
      // The caller may be on the stack, within the parser.
      asio::post(socket_.get_executor(), [self = shared_from_this()] { self->close(); });
      return;
    }
    output_at_ += count;
    last_progress_ = support::monotonic_now();
  }
  if (!writing_ && !closed_) {
    finish_writing();
  }
}

void http_connection::finish_writing() {
  output_.clear();
  output_at_ = 0;
  if (output_.capacity() > keep_output_bytes) {
    output_.shrink_to_fit();
  }
  if (close_after_output_) {
    end_output();
  }
}

void http_connection::end_output() {
  if (std::exchange(output_ended_, true)) {
    return;
  }
  asio::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  last_progress_ = support::monotonic_now();
}

void http_connection::check_time_limits(support::time_point now) {
  const auto& settings = environment_->settings;
  if (output_ended_) {
    if (now - last_progress_ > linger_time) {
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
  const bool waits_for_upstream = !pending_.empty() && !writing_;
  if (!waits_for_upstream && now - last_progress_ > settings.idle_timeout) {
    close();
  }
}

void http_connection::close() {
  if (std::exchange(closed_, true)) {
    return;
  }
  asio::error_code ignored;
  socket_.close(ignored);
  pending_.clear();
  if (environment_->callbacks.on_closed) {
    environment_->callbacks.on_closed(id_);
  }
  on_ended_(id_);
}

} // namespace acaciasill::net

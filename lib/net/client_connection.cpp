#include "client_connection.h"

#include <charconv>
#include <utility>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include "acaciasill/net/call_headers.h"

#include "parser_callbacks.h"

namespace acaciasill::net {
namespace {

// A kept connection is not used in the last part of the time that the other side keeps it.
constexpr support::milliseconds keep_alive_margin{500};
constexpr std::uint16_t first_final_status = 200;

const http_parser_settings parser_settings = parser_callbacks<client_connection>();

// Lets the system find out that a connection leads nowhere any more, however long a response may be
// held back: after about three seconds without a sign of the other side.
void keep_alive(asio::ip::tcp::socket& socket) {
  constexpr int idle_seconds = 1;
  constexpr int interval_seconds = 1;
  constexpr int unanswered_probes = 2;
  asio::error_code ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  const auto set = [&socket](int name, int value) {
    // A system without the option keeps the connection as long as its own times say.
    static_cast<void>(
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, sizeof(value)));
  };
  set(TCP_KEEPIDLE, idle_seconds);
  set(TCP_KEEPINTVL, interval_seconds);
  set(TCP_KEEPCNT, unanswered_probes);
}

bool sends_length(const client_request& request) {
  return !request.body.empty() || request.method == "POST" || request.method == "PUT" ||
         request.method == "PATCH";
}

std::string to_text(const client_request& request) {
  std::string text;
  text.reserve(512 + request.body.size());
  text.append(request.method);
  text.append(" ");
  text.append(request.target);
  text.append(" HTTP/1.1\r\n");
  bool has_host = false;
  for (const auto& [name, value] : request.headers) {
    if (same_field_name(name, "content-length") || same_field_name(name, "transfer-encoding")) {
      continue;
    }
    has_host = has_host || same_field_name(name, "host");
    append_field(text, name, value);
  }
  if (!has_host) {
    append_field(text, "Host",
                 request.address.address().to_string() + ":" +
                     std::to_string(request.address.port()));
  }
  if (sends_length(request)) {
    append_field(text, "Content-Length", std::to_string(request.body.size()));
  }
  text.append("\r\n");
  text.append(request.body);
  return text;
}

} // namespace

client_connection::client_connection(asio::io_context& context,
                                     std::shared_ptr<client_environment> environment)
    : socket_(context), environment_(std::move(environment)) {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
}

void client_connection::start(const client_request& request,
                              std::function<void(connection_result)> on_done) {
  on_done_ = std::move(on_done);
  busy_ = true;
  sent_ = false;
  answered_anything_ = false;
  complete_ = false;
  message_ = {};
  head_request_ = request.method == "HEAD";
  echoed_field_ = request.echoed_field;
  echoed_value_.clear();
  if (!echoed_field_.empty()) {
    if (const auto* value = find_field(request.headers, echoed_field_)) {
      echoed_value_ = *value;
    }
  }
  output_ = to_text(request);
  output_at_ = 0;
  if (!connected_) {
    connect(request.address);
    return;
  }
  // A failure is reported later, never from within start.
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (!self->closed_) {
      self->write();
      self->wait_for_bytes();
    }
  });
}

void client_connection::connect(const asio::ip::tcp::endpoint& address) {
  ++environment_->counters.connects;
  socket_.async_connect(address, [self = shared_from_this()](asio::error_code error) {
    if (self->closed_) {
      return;
    }
    if (error) {
      self->finish(exchange_end::not_sent, false);
      return;
    }
    self->connected_ = true;
    asio::error_code ignored;
    self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    keep_alive(self->socket_);
    self->socket_.non_blocking(true, ignored);
    self->write();
    self->wait_for_bytes();
  });
}

void client_connection::write() {
  while (!writing_ && !closed_ && busy_ && output_at_ < output_.size()) {
    sent_ = true;
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
      // An answer may have come before the connection was reset; the reader tells.
      return;
    }
    output_at_ += count;
  }
}

void client_connection::wait_for_bytes() {
  if (closed_ || waiting_for_bytes_) {
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

void client_connection::read() {
  asio::error_code error;
  const auto count = socket_.read_some(asio::buffer(environment_->read_buffer), error);
  if (error == asio::error::would_block) {
    wait_for_bytes();
    return;
  }
  if (!busy_) {
    if (!error) {
      environment_->counters.excess_bytes += count;
    }
    lose();
    return;
  }
  if (error == asio::error::eof) {
    take_end();
    return;
  }
  if (error) {
    finish(exchange_end::broken, false);
    return;
  }
  answered_anything_ = true;
  take_bytes(count);
}

void client_connection::take_bytes(std::size_t count) {
  const auto self = shared_from_this();
  const auto parsed =
      http_parser_execute(&parser_, &parser_settings, environment_->read_buffer.data(), count);
  if (complete_) {
    const bool excess = parsed < count;
    if (excess) {
      environment_->counters.excess_bytes += count - parsed;
    }
    // A response that came before the whole request was written leaves the rest of it on the way.
    const bool whole_request = output_at_ == output_.size();
    finish(exchange_end::answered,
           !excess && whole_request && http_should_keep_alive(&parser_) != 0);
    return;
  }
  if (message_.fault != message_fault::none) {
    finish(exchange_end::too_large, false);
    return;
  }
  if (parsed != count || HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
    finish(exchange_end::broken, false);
    return;
  }
  wait_for_bytes();
}

// The other side has closed its direction; a response without a length is complete by that.
void client_connection::take_end() {
  const auto self = shared_from_this();
  http_parser_execute(&parser_, &parser_settings, environment_->read_buffer.data(), 0);
  finish(complete_ ? exchange_end::answered : exchange_end::broken, false);
}

int client_connection::on_message_begin() {
  message_ = {};
  return 0;
}

int client_connection::on_field_name(std::string_view bytes) {
  return take_field_name(message_, bytes, environment_->limits);
}

int client_connection::on_field_value(std::string_view bytes) {
  return take_field_value(message_, bytes, environment_->limits);
}

int client_connection::on_headers_complete() {
  // 1 tells the parser that no body follows.
  return head_request_ ? 1 : 0;
}

int client_connection::on_body(std::string_view bytes) {
  return take_body(message_, bytes, environment_->limits);
}

int client_connection::on_message_complete() {
  if (parser_.status_code < first_final_status) {
    message_ = {};
    return 0;
  }
  if (is_foreign()) {
    ++environment_->counters.foreign_responses;
    message_ = {};
    // After a response that ends the connection no other one can follow.
    return http_should_keep_alive(&parser_) != 0 ? 0 : 1;
  }
  complete_ = true;
  note_keep_alive();
  http_parser_pause(&parser_, 1);
  return 0;
}

bool client_connection::is_foreign() const {
  if (echoed_value_.empty()) {
    return false;
  }
  const auto* value = find_field(message_.headers, echoed_field_);
  return value != nullptr && *value != echoed_value_;
}

void client_connection::note_keep_alive() {
  const auto* field = find_field(message_.headers, "keep-alive");
  if (field == nullptr) {
    return;
  }
  constexpr std::string_view name = "timeout=";
  const auto place = field->find(name);
  if (place == std::string::npos) {
    return;
  }
  int seconds = 0;
  const char* begin = field->data() + place + name.size();
  if (std::from_chars(begin, field->data() + field->size(), seconds).ec == std::errc()) {
    usable_until_ = support::monotonic_now() + support::seconds(seconds) - keep_alive_margin;
  }
}

void client_connection::finish(exchange_end end, bool reusable) {
  if (!busy_) {
    return;
  }
  busy_ = false;
  connection_result result;
  result.response.end = end;
  result.sent = sent_;
  result.answered_anything = answered_anything_;
  result.reusable = reusable;
  if (end == exchange_end::answered) {
    result.response.status = static_cast<std::uint16_t>(parser_.status_code);
    result.response.headers = std::move(message_.headers);
    result.response.body = std::move(message_.body);
  }
  message_ = {};
  output_ = {};
  output_at_ = 0;
  idle_since_ = support::monotonic_now();
  if (reusable) {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    wait_for_bytes();
  } else {
    close();
  }
  const auto done = std::exchange(on_done_, nullptr);
  done(std::move(result));
}

void client_connection::lose() {
  close();
  if (const auto lost = std::exchange(on_lost_, nullptr)) {
    lost();
  }
}

void client_connection::close() {
  closed_ = true;
  asio::error_code ignored;
  socket_.close(ignored);
}

} // namespace acaciasill::net

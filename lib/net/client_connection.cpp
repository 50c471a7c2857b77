#include "client_connection.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include "absl/strings/ascii.h"

#include "acaciasill/net/call_headers.h"

#include "parser_callbacks.h"

namespace acaciasill::net {
namespace {

// Margin before the keep-alive timeout of the server within which a connection is not reused.
constexpr support::milliseconds keep_alive_margin{500};
constexpr std::uint16_t first_final_status = 200;
constexpr std::uint16_t status_no_content = 204;
constexpr std::uint16_t status_not_modified = 304;
// Number of interim responses and of responses to earlier requests that one exchange discards. A
// server that sends more of them may never end.
constexpr std::uint32_t max_discarded_messages = 16;
// Results of parser callbacks; no_body_follows applies to the callback for a complete head.
constexpr int parser_failure = -1;
constexpr int no_body_follows = 1;

const http_parser_settings parser_settings = parser_callbacks<client_connection>();

// Enables TCP keep-alive probes so that a dead peer is detected after about three seconds even if
// the response is delayed indefinitely.
void enable_keep_alive(asio::ip::tcp::socket& socket) {
  constexpr int idle_seconds = 1;
  constexpr int interval_seconds = 1;
  constexpr int unanswered_probes = 2;
  asio::error_code ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  const auto set = [&socket](int name, int value) {
    // Systems without the option use their default keep-alive times.
    static_cast<void>(
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, sizeof(value)));
  };
  set(TCP_KEEPIDLE, idle_seconds);
  set(TCP_KEEPINTVL, interval_seconds);
  set(TCP_KEEPCNT, unanswered_probes);
}

// Whether a response with the status can have a body. Others may state the length of one, which the
// parser would wait for.
bool may_have_body(unsigned status) {
  return status >= first_final_status && status != status_no_content &&
         status != status_not_modified;
}

// Whether the parser decodes the body as it was coded for the transfer. It reads a body in any
// other coding as it comes.
bool has_readable_coding(const std::vector<wire::header_field>& fields) {
  constexpr std::string_view name = "transfer-encoding";
  const auto is_coding = [name](const auto& field) { return same_field_name(field.name, name); };
  const auto count = std::count_if(fields.begin(), fields.end(), is_coding);
  if (count == 0) {
    return true;
  }
  const std::string coding(absl::StripAsciiWhitespace(*find_field(fields, name)));
  return count == 1 && (same_field_name(coding, "chunked") || same_field_name(coding, "identity"));
}

bool needs_content_length(const client_request& request) {
  return !request.body.empty() || request.method == "POST" || request.method == "PUT" ||
         request.method == "PATCH";
}

std::string format_request(const client_request& request) {
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
  if (needs_content_length(request)) {
    append_field(text, "Content-Length", std::to_string(request.body.size()));
  }
  text.append("\r\n");
  text.append(request.body);
  return text;
}

} // namespace

client_connection::client_connection(asio::io_context& context,
                                     std::shared_ptr<client_shared_state> shared_state)
    : socket_(context), shared_state_(std::move(shared_state)) {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
}

void client_connection::start(const client_request& request,
                              std::function<void(connection_result)> on_done) {
  on_done_ = std::move(on_done);
  exchange_active_ = true;
  sent_ = false;
  response_started_ = false;
  response_complete_ = false;
  discarded_messages_ = 0;
  message_ = {};
  head_request_ = request.method == "HEAD";
  correlation_field_ = request.correlation_field;
  correlation_value_.clear();
  if (!correlation_field_.empty()) {
    if (const auto* value = find_field(request.headers, correlation_field_)) {
      correlation_value_ = *value;
    }
  }
  output_ = format_request(request);
  output_offset_ = 0;
  if (!connected_) {
    connect(request.address);
    return;
  }
  // Posted, so that a failure is never reported from within start.
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (!self->closed_) {
      self->write();
      self->wait_until_readable();
    }
  });
}

void client_connection::connect(const asio::ip::tcp::endpoint& address) {
  ++shared_state_->counters.connections_opened;
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
    enable_keep_alive(self->socket_);
    self->socket_.non_blocking(true, ignored);
    self->write();
    self->wait_until_readable();
  });
}

void client_connection::write() {
  while (!writing_ && !closed_ && exchange_active_ && output_offset_ < output_.size()) {
    sent_ = true;
    asio::error_code error;
    const auto count = socket_.write_some(
        asio::buffer(output_.data() + output_offset_, output_.size() - output_offset_), error);
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
      // The server may have responded before it reset the connection; the read handler decides. The
      // failed write has taken the error from the socket, so the next read sees the end of the
      // stream instead of a reset.
      write_failed_ = true;
      return;
    }
    output_offset_ += count;
  }
}

void client_connection::wait_until_readable() {
  if (closed_ || waiting_until_readable_) {
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

void client_connection::read() {
  asio::error_code error;
  const auto count = socket_.read_some(asio::buffer(shared_state_->read_buffer), error);
  if (error == asio::error::would_block) {
    wait_until_readable();
    return;
  }
  if (!exchange_active_) {
    if (!error) {
      shared_state_->counters.excess_bytes += count;
    }
    handle_idle_close();
    return;
  }
  if (error == asio::error::eof) {
    handle_eof();
    return;
  }
  if (error) {
    finish(exchange_end::broken, false);
    return;
  }
  response_started_ = true;
  parse_bytes(count);
}

void client_connection::parse_bytes(std::size_t count) {
  const auto self = shared_from_this();
  const auto parsed =
      http_parser_execute(&parser_, &parser_settings, shared_state_->read_buffer.data(), count);
  if (response_complete_) {
    const bool excess = parsed < count;
    if (excess) {
      shared_state_->counters.excess_bytes += count - parsed;
    }
    // If the response arrived early, the rest of the request is unsent and the connection cannot be
    // reused. After a response without the correlation field, a late copy of it would be taken for
    // the next one.
    const bool request_sent = output_offset_ == output_.size();
    const bool is_correlated = correlation_value_.empty() || find_correlation() != nullptr;
    if (!is_correlated) {
      ++shared_state_->counters.uncorrelated_responses;
    }
    finish(exchange_end::answered,
           !excess && request_sent && is_correlated && http_should_keep_alive(&parser_) != 0);
    return;
  }
  if (message_.error != message_error::none) {
    finish(exchange_end::too_large, false);
    return;
  }
  if (parsed != count || HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
    finish(exchange_end::broken, false);
    return;
  }
  set_buffered_bytes(memory_bytes(message_));
  if (shared_state_->buffered_bytes > shared_state_->max_buffered_bytes) {
    // May close this connection.
    shared_state_->on_buffer_limit();
  }
  wait_until_readable();
}

// Records the memory of the incomplete response in the sum of all connections.
void client_connection::set_buffered_bytes(std::size_t bytes) {
  shared_state_->buffered_bytes += bytes - buffered_bytes_;
  buffered_bytes_ = bytes;
}

// Handles end of stream, which completes a response without a length unless the connection failed.
void client_connection::handle_eof() {
  const auto self = shared_from_this();
  http_parser_execute(&parser_, &parser_settings, shared_state_->read_buffer.data(), 0);
  const bool is_complete = response_complete_ && !write_failed_;
  finish(is_complete ? exchange_end::answered : exchange_end::broken, false);
}

int client_connection::on_message_begin() {
  message_ = {};
  return 0;
}

int client_connection::on_field_name(std::string_view bytes) {
  // The name may arrive in parts, which may be empty and else consist of the characters of a name.
  if (!bytes.empty() && !is_field_name(bytes)) {
    return parser_failure;
  }
  return append_field_name(message_, bytes, shared_state_->limits);
}

int client_connection::on_field_value(std::string_view bytes) {
  return append_field_value(message_, bytes, shared_state_->limits);
}

int client_connection::on_headers_complete() {
  if (!is_valid_status(parser_.status_code) || !has_readable_coding(message_.headers)) {
    return parser_failure;
  }
  head_fields_ = message_.headers.size();
  if (head_request_ || !may_have_body(parser_.status_code)) {
    return no_body_follows;
  }
  const bool states_length = parser_.content_length != std::numeric_limits<std::uint64_t>::max();
  if (states_length && parser_.content_length > shared_state_->limits.max_body_bytes) {
    message_.error = message_error::body_too_large;
    return parser_failure;
  }
  return 0;
}

int client_connection::on_body(std::string_view bytes) {
  return append_body(message_, bytes, shared_state_->limits);
}

int client_connection::on_message_complete() {
  // The fields of a trailer are not those of the head (RFC 9110, 6.5.1).
  message_.headers.resize(head_fields_);
  if (parser_.status_code < first_final_status) {
    return discard_message();
  }
  if (is_mismatched_response()) {
    ++shared_state_->counters.mismatched_responses;
    // No further response can follow on a connection that is being closed.
    return http_should_keep_alive(&parser_) != 0 ? discard_message() : 1;
  }
  response_complete_ = true;
  parse_keep_alive_timeout();
  http_parser_pause(&parser_, 1);
  return 0;
}

// Returns a result for the parser: an error ends the exchange.
int client_connection::discard_message() {
  message_ = {};
  return ++discarded_messages_ > max_discarded_messages ? 1 : 0;
}

bool client_connection::is_mismatched_response() const {
  const auto* value = correlation_value_.empty() ? nullptr : find_correlation();
  return value != nullptr && *value != correlation_value_;
}

const std::string* client_connection::find_correlation() const {
  return find_field(message_.headers, correlation_field_);
}

void client_connection::parse_keep_alive_timeout() {
  const auto* field = find_field(message_.headers, "keep-alive");
  if (field == nullptr) {
    return;
  }
  constexpr std::string_view name = "timeout=";
  const auto position = field->find(name);
  if (position == std::string::npos) {
    return;
  }
  int seconds = 0;
  const char* begin = field->data() + position + name.size();
  if (std::from_chars(begin, field->data() + field->size(), seconds).ec == std::errc()) {
    usable_until_ = support::monotonic_now() + support::seconds(seconds) - keep_alive_margin;
  }
}

void client_connection::finish(exchange_end end, bool reusable) {
  if (!exchange_active_) {
    return;
  }
  exchange_active_ = false;
  connection_result result;
  result.response.end = end;
  result.sent = sent_;
  result.response_started = response_started_;
  result.reusable = reusable;
  if (end == exchange_end::answered) {
    result.response.status = static_cast<std::uint16_t>(parser_.status_code);
    result.response.headers = std::move(message_.headers);
    result.response.body = std::move(message_.body);
  }
  message_ = {};
  set_buffered_bytes(0);
  output_ = {};
  output_offset_ = 0;
  idle_since_ = support::monotonic_now();
  if (reusable) {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    wait_until_readable();
  } else {
    close();
  }
  const auto done = std::exchange(on_done_, nullptr);
  done(std::move(result));
}

void client_connection::handle_idle_close() {
  close();
  if (const auto on_idle_close = std::exchange(on_idle_close_, nullptr)) {
    on_idle_close();
  }
}

void client_connection::close() {
  closed_ = true;
  // Operations of the socket that still have to end keep the connection alive.
  message_ = {};
  set_buffered_bytes(0);
  asio::error_code ignored;
  socket_.close(ignored);
}

} // namespace acaciasill::net

#include "acaciasill/net/http_server.h"

#include <utility>

#include <sys/socket.h>

#include <restinio/all.hpp>

#include "acaciasill/support/log.h"
#include "acaciasill/support/result_code.h"

namespace acaciasill::net {
namespace {

constexpr std::size_t max_pipelined_requests = 2;
constexpr std::size_t read_buffer_bytes = 16384;
constexpr std::chrono::seconds idle_connection_limit{75};
constexpr std::chrono::seconds slow_request_limit{10};
constexpr std::chrono::seconds handler_limit{120};

// Passes what RESTinio finds wrong with a connection on to the log, so that a request over a limit
// leaves one line. The server closes such a connection.
class connection_log {
public:
  template <typename Builder>
  void trace(Builder&& /*build*/) const noexcept {}
  template <typename Builder>
  void info(Builder&& /*build*/) const noexcept {}
  template <typename Builder>
  void warn(Builder&& build) const {
    write(std::forward<Builder>(build));
  }
  template <typename Builder>
  void error(Builder&& build) const {
    write(std::forward<Builder>(build));
  }

private:
  template <typename Builder>
  static void write(Builder&& build) {
    support::write_log(support::log_level::warning, "http",
                       support::format_code(support::result_code::bad_request) +
                           " a connection was closed: " + build());
  }
};

// Tells the server when a connection ends.
class close_listener {
public:
  explicit close_listener(std::function<void(std::uint64_t)> on_closed)
      : on_closed_(std::move(on_closed)) {}

  void state_changed(const restinio::connection_state::notice_t& notice) noexcept {
    if (restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause()) &&
        on_closed_) {
      on_closed_(notice.connection_id());
    }
  }

private:
  std::function<void(std::uint64_t)> on_closed_;
};

using request_handler =
    std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;

struct server_traits : restinio::single_thread_traits_t<restinio::asio_timer_manager_t,
                                                        restinio::null_logger_t, request_handler> {
  using connection_state_listener_t = close_listener;
};

using restinio_server = restinio::http_server_t<server_traits>;

http_request to_request(const restinio::request_handle_t& handle) {
  http_request request;
  const auto& header = handle->header();
  request.connection = handle->connection_id();
  request.method = header.method().c_str();
  request.target = header.request_target();
  header.for_each_field([&request](const auto& field) {
    request.headers.push_back({std::string(field.name()), std::string(field.value())});
  });
  request.body = handle->body();
  return request;
}

void send_response(const restinio::request_handle_t& handle, http_response response) {
  auto builder = handle->create_response(restinio::http_status_line_t{
      restinio::http_status_code_t{response.status}, reason_phrase(response.status)});
  for (auto& field : response.headers) {
    builder.append_header(std::move(field.name), std::move(field.value));
  }
  if (response.close_connection) {
    builder.connection_close();
  }
  builder.set_body(std::move(response.body));
  builder.done();
}

restinio::request_handling_status_t handle_request(const http_server_callbacks& callbacks,
                                                   const restinio::request_handle_t& handle) {
  callbacks.on_request(to_request(handle), [handle](http_response response) {
    send_response(handle, std::move(response));
  });
  return restinio::request_accepted();
}

} // namespace

struct http_server::implementation {
  implementation(asio::io_context& context, const http_server_settings& settings,
                 http_server_callbacks callbacks)
      : callbacks_(std::move(callbacks)),
        server_(restinio::external_io_context(context), make_settings(settings)) {}

  restinio::server_settings_t<server_traits> make_settings(const http_server_settings& settings) {
    restinio::server_settings_t<server_traits> result;
    result.address(settings.address)
        .port(settings.port)
        .buffer_size(read_buffer_bytes)
        .max_pipelined_requests(max_pipelined_requests)
        .read_next_http_message_timelimit(idle_connection_limit)
        .write_http_response_timelimit(slow_request_limit)
        .handle_request_timeout(handler_limit)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_url_size(settings.max_target_bytes)
                                      .max_field_name_size(settings.max_header_bytes)
                                      .max_field_value_size(settings.max_header_bytes)
                                      .max_field_count(settings.max_header_count)
                                      .max_body_size(settings.max_body_bytes))
        .acceptor_options_setter([share = settings.share_port](auto& options) {
          options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
          if (share) {
            options.set_option(
                asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
          }
        })
        .acceptor_post_bind_hook(
            [this](asio::ip::tcp::acceptor& acceptor) { port_ = acceptor.local_endpoint().port(); })
        .socket_options_setter(
            [](auto& options) { options.set_option(asio::ip::tcp::no_delay(true)); })
        .connection_state_listener(std::make_shared<close_listener>(callbacks_.on_closed))
        .request_handler([this](const restinio::request_handle_t& handle) {
          return handle_request(callbacks_, handle);
        });
    return result;
  }

  http_server_callbacks callbacks_;
  std::uint16_t port_ = 0;
  restinio_server server_;
};

http_server::http_server(asio::io_context& context, const http_server_settings& settings,
                         http_server_callbacks callbacks)
    : implementation_(std::make_unique<implementation>(context, settings, std::move(callbacks))) {}

http_server::~http_server() {
  close();
}

absl::Status http_server::open() {
  try {
    implementation_->server_.open_sync();
  } catch (const std::exception& error) {
    return support::make_error(support::result_code::port_in_use, error.what());
  }
  return absl::OkStatus();
}

void http_server::close() {
  try {
    implementation_->server_.close_sync();
  } catch (const std::exception& error) {
    support::write_log(support::log_level::warning, "http", error.what());
  }
}

std::uint16_t http_server::port() const {
  return implementation_->port_;
}

absl::StatusOr<std::uint16_t> reserve_port(const std::string& address, std::uint16_t port) {
  asio::error_code error;
  const auto ip = asio::ip::make_address(address, error);
  if (error) {
    return support::make_error(support::result_code::port_in_use, "not an IP address: " + address);
  }
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context);
  const asio::ip::tcp::endpoint endpoint(ip, port);
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return support::make_error(support::result_code::port_in_use,
                               address + ":" + std::to_string(port) + ": " + error.message());
  }
  return acceptor.local_endpoint().port();
}

std::string reason_phrase(std::uint16_t status) {
  switch (status) {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 403:
    return "Forbidden";
  case 404:
    return "Not Found";
  case 409:
    return "Conflict";
  case 413:
    return "Payload Too Large";
  case 429:
    return "Too Many Requests";
  case 499:
    return "Client Closed Request";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return status < 400 ? "OK" : "Error";
  }
}

} // namespace acaciasill::net

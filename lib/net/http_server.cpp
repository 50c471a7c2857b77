#include "acaciasill/net/http_server.h"

#include <unordered_map>
#include <utility>

#include <sys/socket.h>

#include <asio.hpp>

#include "acaciasill/support/log.h"
#include "acaciasill/support/result_code.h"

#include "http_connection.h"

namespace acaciasill::net {
namespace {

// How often the time limits of all connections are looked at.
constexpr support::milliseconds time_limit_period{250};
// The pause after the system refused to accept a connection, for example for want of descriptors.
constexpr support::milliseconds accept_pause{50};

} // namespace

// Everything runs on the thread of the io_context.
struct http_server::implementation : std::enable_shared_from_this<http_server::implementation> {
  implementation(asio::io_context& io, const http_server_settings& settings,
                 http_server_callbacks callbacks)
      : context(io), acceptor(io), timer(io),
        environment(std::make_shared<connection_environment>()) {
    environment->settings = settings;
    environment->callbacks = std::move(callbacks);
  }

  absl::Status open() {
    asio::error_code error;
    const auto ip = asio::ip::make_address(environment->settings.address, error);
    const asio::ip::tcp::endpoint endpoint(ip, environment->settings.port);
    if (!error) {
      acceptor.open(endpoint.protocol(), error);
    }
    if (!error) {
      acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    }
    if (!error && environment->settings.share_port) {
      acceptor.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true),
                          error);
    }
    if (!error) {
      acceptor.bind(endpoint, error);
    }
    if (!error) {
      acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return support::make_error(support::result_code::port_in_use,
                                 environment->settings.address + ":" +
                                     std::to_string(environment->settings.port) + ": " +
                                     error.message());
    }
    bound_port = acceptor.local_endpoint().port();
    accept();
    watch_time_limits();
    return absl::OkStatus();
  }

  void accept() {
    acceptor.async_accept(
        [weak = weak_from_this()](asio::error_code error, asio::ip::tcp::socket socket) {
          const auto self = weak.lock();
          if (!self || error == asio::error::operation_aborted || !self->acceptor.is_open()) {
            return;
          }
          if (error) {
            self->accept_later(error);
            return;
          }
          self->add(std::move(socket));
          self->accept();
        });
  }

  void accept_later(const asio::error_code& error) {
    support::write_log(support::log_level::warning, "http",
                       "a connection could not be accepted: " + error.message());
    auto pause = std::make_shared<asio::steady_timer>(context, accept_pause);
    pause->async_wait([weak = weak_from_this(), pause](asio::error_code /*stopped*/) {
      if (const auto self = weak.lock(); self && self->acceptor.is_open()) {
        self->accept();
      }
    });
  }

  void add(asio::ip::tcp::socket socket) {
    const auto id = ++last_id;
    auto connection = std::make_shared<http_connection>(
        std::move(socket), environment, id, [weak = weak_from_this()](std::uint64_t ended) {
          if (const auto self = weak.lock()) {
            self->connections.erase(ended);
          }
        });
    connections.emplace(id, connection);
    connection->start();
  }

  void watch_time_limits() {
    timer.expires_after(time_limit_period);
    timer.async_wait([weak = weak_from_this()](asio::error_code error) {
      const auto self = weak.lock();
      if (error || !self) {
        return;
      }
      const auto now = support::monotonic_now();
      for (const auto& connection : self->snapshot()) {
        connection->check_time_limits(now);
      }
      self->watch_time_limits();
    });
  }

  // The connections as they are now; a callback may end some of them.
  std::vector<std::shared_ptr<http_connection>> snapshot() const {
    std::vector<std::shared_ptr<http_connection>> present;
    present.reserve(connections.size());
    for (const auto& [id, connection] : connections) {
      present.push_back(connection);
    }
    return present;
  }

  asio::io_context& context;
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer timer;
  std::shared_ptr<connection_environment> environment;
  std::unordered_map<std::uint64_t, std::shared_ptr<http_connection>> connections;
  std::uint64_t last_id = 0;
  std::uint16_t bound_port = 0;
};

http_server::http_server(asio::io_context& context, const http_server_settings& settings,
                         http_server_callbacks callbacks)
    : implementation_(std::make_shared<implementation>(context, settings, std::move(callbacks))) {}

http_server::~http_server() {
  close();
  // Connections may outlive the server within the io_context; nobody is there to be called.
  implementation_->environment->callbacks = {[](const http_request&, const http_responder&) {},
                                             [](std::uint64_t) {}};
}

absl::Status http_server::open() {
  return implementation_->open();
}

void http_server::close() {
  asio::post(implementation_->context, [weak = std::weak_ptr(implementation_)] {
    if (const auto self = weak.lock()) {
      asio::error_code ignored;
      self->acceptor.close(ignored);
    }
  });
}

void http_server::set_limits(const http_server_settings& settings) {
  auto& present = implementation_->environment->settings;
  present.max_body_bytes = settings.max_body_bytes;
  present.max_header_bytes = settings.max_header_bytes;
  present.header_timeout = settings.header_timeout;
  present.idle_timeout = settings.idle_timeout;
}

void http_server::set_draining() {
  implementation_->environment->draining = true;
}

std::size_t http_server::close_idle() {
  for (const auto& connection : implementation_->snapshot()) {
    if (connection->is_idle()) {
      connection->close();
    }
  }
  return implementation_->connections.size();
}

std::uint16_t http_server::port() const {
  return implementation_->bound_port;
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
  case 408:
    return "Request Timeout";
  case 413:
    return "Payload Too Large";
  case 421:
    return "Misdirected Request";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 499:
    return "Client Closed Request";
  case 500:
    return "Internal Server Error";
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

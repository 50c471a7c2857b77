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

// Interval between timeout checks of all connections.
constexpr support::milliseconds timeout_check_interval{250};
// Delay before accepting again after an error such as exhausted file descriptors.
constexpr support::milliseconds accept_retry_delay{50};

} // namespace

// All functions run on the thread of the io_context.
struct http_server::implementation : std::enable_shared_from_this<http_server::implementation> {
  implementation(asio::io_context& io, const http_server_settings& settings,
                 http_server_callbacks callbacks)
      : context(io), acceptor(io), timer(io),
        shared_state(std::make_shared<server_shared_state>()) {
    shared_state->settings = settings;
    shared_state->callbacks = std::move(callbacks);
  }

  absl::Status open() {
    asio::error_code error;
    const auto ip = asio::ip::make_address(shared_state->settings.address, error);
    const asio::ip::tcp::endpoint endpoint(ip, shared_state->settings.port);
    if (!error) {
      acceptor.open(endpoint.protocol(), error);
    }
    if (!error) {
      acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    }
    if (!error && shared_state->settings.share_port) {
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
                                 shared_state->settings.address + ":" +
                                     std::to_string(shared_state->settings.port) + ": " +
                                     error.message());
    }
    bound_port = acceptor.local_endpoint().port();
    accept();
    schedule_timeout_check();
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
            self->retry_accept(error);
            return;
          }
          self->add(std::move(socket));
          self->accept();
        });
  }

  void retry_accept(const asio::error_code& error) {
    support::write_log(support::log_level::warning, "http",
                       "failed to accept a connection: " + error.message());
    auto retry_timer = std::make_shared<asio::steady_timer>(context, accept_retry_delay);
    retry_timer->async_wait([weak = weak_from_this(), retry_timer](asio::error_code /*stopped*/) {
      if (const auto self = weak.lock(); self && self->acceptor.is_open()) {
        self->accept();
      }
    });
  }

  void add(asio::ip::tcp::socket socket) {
    const auto id = ++last_id;
    auto connection = std::make_shared<http_connection>(
        std::move(socket), shared_state, id, [weak = weak_from_this()](std::uint64_t ended) {
          if (const auto self = weak.lock()) {
            self->connections.erase(ended);
          }
        });
    connections.emplace(id, connection);
    connection->start();
  }

  void schedule_timeout_check() {
    timer.expires_after(timeout_check_interval);
    timer.async_wait([weak = weak_from_this()](asio::error_code error) {
      const auto self = weak.lock();
      if (error || !self) {
        return;
      }
      const auto now = support::monotonic_now();
      for (const auto& connection : self->open_connections()) {
        connection->check_timeouts(now);
      }
      self->schedule_timeout_check();
    });
  }

  // Copy of the open connections, since a callback may close some of them.
  std::vector<std::shared_ptr<http_connection>> open_connections() const {
    std::vector<std::shared_ptr<http_connection>> current;
    current.reserve(connections.size());
    for (const auto& [id, connection] : connections) {
      current.push_back(connection);
    }
    return current;
  }

  asio::io_context& context;
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer timer;
  std::shared_ptr<server_shared_state> shared_state;
  std::unordered_map<std::uint64_t, std::shared_ptr<http_connection>> connections;
  std::uint64_t last_id = 0;
  std::uint16_t bound_port = 0;
};

http_server::http_server(asio::io_context& context, const http_server_settings& settings,
                         http_server_callbacks callbacks)
    : implementation_(std::make_shared<implementation>(context, settings, std::move(callbacks))) {}

http_server::~http_server() {
  close();
  // Connections may outlive the server in the io_context; their callbacks must no longer be called.
  implementation_->shared_state->callbacks = {[](const http_request&, const http_responder&) {},
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
  auto& current = implementation_->shared_state->settings;
  current.max_body_bytes = settings.max_body_bytes;
  current.max_header_bytes = settings.max_header_bytes;
  current.header_timeout = settings.header_timeout;
  current.idle_timeout = settings.idle_timeout;
}

void http_server::set_draining() {
  implementation_->shared_state->draining = true;
}

std::size_t http_server::writing_connections() const {
  return implementation_->shared_state->writing_connections.load(std::memory_order_relaxed);
}

std::size_t http_server::close_idle() {
  for (const auto& connection : implementation_->open_connections()) {
    if (connection->is_idle()) {
      connection->close();
    }
  }
  return implementation_->connections.size();
}

void http_server::abort() {
  asio::error_code ignored;
  implementation_->acceptor.close(ignored);
  for (const auto& connection : implementation_->open_connections()) {
    connection->close();
  }
}

std::uint16_t http_server::port() const {
  return implementation_->bound_port;
}

absl::StatusOr<std::uint16_t> check_port_available(const std::string& address, std::uint16_t port) {
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

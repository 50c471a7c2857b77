#include "acaciasill/net/peer_listener.h"

#include <algorithm>
#include <mutex>
#include <unordered_map>
#include <utility>

#include <asio/basic_socket_acceptor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/dispatch.hpp>
#include <asio/post.hpp>

#include "absl/strings/str_cat.h"

#include "acaciasill/support/log.h"
#include "acaciasill/support/result_code.h"

#include "peer_session.h"

namespace acaciasill::net {
namespace {

using support::log_level;
using support::result_code;
using support::write_log;

// Delay before the next accept after a failed one, for example when file descriptors run out.
constexpr support::milliseconds accept_retry_delay{100};

// Owns the acceptor and the connections. The pending accept keeps it alive until it is stopped.
class acceptor_loop : public std::enable_shared_from_this<acceptor_loop> {
public:
  acceptor_loop(std::vector<asio::io_context*> contexts, std::shared_ptr<listener_core> core)
      : contexts_(std::move(contexts)), core_(std::move(core)),
        executor_(contexts_.front()->get_executor()), acceptor_(executor_),
        accept_retry_timer_(executor_) {}

  absl::Status bind(const peer_address& address);
  void accept();
  void stop_accepting();
  void stop();
  peer_address address() const { return address_; }

private:
  void handle_accepted(peer_socket socket);
  void remove(std::uint64_t number);

  std::vector<asio::io_context*> contexts_;
  std::shared_ptr<listener_core> core_;
  peer_executor executor_;
  asio::basic_socket_acceptor<asio::ip::tcp, peer_executor> acceptor_;
  peer_timer accept_retry_timer_;
  peer_address address_;
  std::size_t next_context_ = 0;
  bool is_stopped_ = false;
  std::mutex mutex_;
  std::unordered_map<std::uint64_t, std::shared_ptr<session>> sessions_;
};

absl::Status acceptor_loop::bind(const peer_address& address) {
  asio::error_code error;
  acceptor_.open(address.protocol(), error);
  if (!error) {
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(address, error);
  }
  if (!error) {
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return support::make_error(
        result_code::port_in_use,
        absl::StrCat(address.address().to_string(), ":", address.port(), ": ", error.message()));
  }
  address_ = acceptor_.local_endpoint(error);
  return absl::OkStatus();
}

void acceptor_loop::accept() {
  const peer_executor executor(contexts_[next_context_++ % contexts_.size()]->get_executor());
  acceptor_.async_accept(
      executor,
      asio::bind_executor(executor_, [self = shared_from_this()](const asio::error_code& error,
                                                                 peer_socket socket) {
        if (self->is_stopped_ || error == asio::error::operation_aborted) {
          return;
        }
        if (error) {
          self->accept_retry_timer_.expires_after(accept_retry_delay);
          self->accept_retry_timer_.async_wait([self](const asio::error_code& stopped) {
            if (!stopped && !self->is_stopped_) {
              self->accept();
            }
          });
          return;
        }
        self->handle_accepted(std::move(socket));
        self->accept();
      }));
}

void acceptor_loop::handle_accepted(peer_socket socket) {
  const auto connection = std::make_shared<session>(core_, std::move(socket));
  {
    const std::lock_guard lock(mutex_);
    if (sessions_.size() >= core_->settings.max_connections) {
      core_->counters.refused.fetch_add(1, std::memory_order_relaxed);
      return;
    }
    sessions_.emplace(connection->number(), connection);
  }
  core_->counters.accepted.fetch_add(1, std::memory_order_relaxed);
  core_->counters.connections.fetch_add(1, std::memory_order_relaxed);
  const std::weak_ptr<acceptor_loop> weak = shared_from_this();
  asio::dispatch(connection->executor(), [connection, weak] {
    connection->start([weak](std::uint64_t number) {
      if (const auto self = weak.lock()) {
        self->remove(number);
      }
    });
  });
}

void acceptor_loop::remove(std::uint64_t number) {
  const std::lock_guard lock(mutex_);
  if (sessions_.erase(number) != 0) {
    core_->counters.connections.fetch_sub(1, std::memory_order_relaxed);
  }
}

void acceptor_loop::stop_accepting() {
  asio::dispatch(executor_, [self = shared_from_this()] {
    self->is_stopped_ = true;
    asio::error_code ignored;
    self->acceptor_.close(ignored);
    self->accept_retry_timer_.cancel();
  });
}

void acceptor_loop::stop() {
  asio::dispatch(executor_, [self = shared_from_this()] {
    self->stop_accepting();
    const std::lock_guard lock(self->mutex_);
    for (const auto& [number, connection] : self->sessions_) {
      asio::post(connection->executor(),
                 [held = connection] { held->close(result_code::peer_lost); });
    }
  });
}

class listener : public peer_listener {
public:
  listener(std::shared_ptr<acceptor_loop> loop, std::shared_ptr<listener_core> core)
      : loop_(std::move(loop)), core_(std::move(core)) {}
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;
  ~listener() override { loop_->stop(); }

  peer_address address() const override { return loop_->address(); }
  void stop_accepting() override { loop_->stop_accepting(); }
  void stop() override { loop_->stop(); }
  const peer_listener_counters& counters() const override { return core_->counters; }

private:
  std::shared_ptr<acceptor_loop> loop_;
  std::shared_ptr<listener_core> core_;
};

} // namespace

absl::StatusOr<std::unique_ptr<peer_listener>>
peer_listener::listen(const std::vector<asio::io_context*>& contexts, const peer_address& address,
                      const peer_settings& settings, peer_listener_handlers handlers) {
  if (auto status = check_settings(settings); !status.ok()) {
    return status;
  }
  if (settings.peer_key.empty()) {
    write_log(log_level::warning, "peer",
              "connections between daemons are not authenticated: peer_key is empty");
  }
  auto core = std::make_shared<listener_core>();
  core->settings = settings;
  core->handlers = std::move(handlers);
  auto loop = std::make_shared<acceptor_loop>(contexts, core);
  if (auto status = loop->bind(address); !status.ok()) {
    return status;
  }
  loop->accept();
  return std::unique_ptr<peer_listener>(std::make_unique<listener>(loop, core));
}

} // namespace acaciasill::net

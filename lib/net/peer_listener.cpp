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

#include "acaciasill/net/peer_channel.h"
#include "acaciasill/support/log.h"
#include "acaciasill/support/result_code.h"
#include "acaciasill/wire/codec.h"

namespace acaciasill::net {
namespace {

using support::log_level;
using support::result_code;
using support::write_log;
using wire::outcome;

// The pause after the system refused to accept a connection, for example for want of descriptors.
constexpr support::milliseconds accept_pause{100};

std::uint64_t next_connection_number() {
  static std::atomic<std::uint64_t> last{0};
  return last.fetch_add(1, std::memory_order_relaxed) + 1;
}

wire::call_reply made_reply(outcome end, result_code code) {
  wire::call_reply reply;
  reply.outcome = end;
  reply.code = code;
  reply.http_status = support::describe(code).http_status;
  return reply;
}

// What all connections of one listener share.
struct listener_core {
  peer_settings settings;
  peer_listener_handlers handlers;
  peer_listener_counters counters;
};

enum class session_state { expects_hello, expects_proof, open };

// One accepted connection.
class session : public std::enable_shared_from_this<session> {
public:
  session(std::shared_ptr<listener_core> core, peer_socket socket)
      : core_(std::move(core)), number_(next_connection_number()), executor_(socket.get_executor()),
        channel_(std::make_shared<peer_channel>(std::move(socket), core_->settings)),
        timer_(executor_) {}

  std::uint64_t number() const { return number_; }
  const peer_executor& executor() const { return executor_; }

  // Begins the handshake; on_ended is called once, when the connection has ended.
  void start(std::function<void(std::uint64_t)> on_ended);
  void close(result_code reason) { channel_->close(reason); }
  void send_reply(std::uint64_t correlation, wire::call_reply reply);

private:
  void handle_frame(wire::frame frame);
  void handle_hello(const wire::hello& hello);
  void handle_proof(const wire::proof& proof);
  void handle_call(wire::call_request request);
  void handle_cancel(const wire::call_cancel& cancel);
  void handle_closed(result_code reason);

  std::shared_ptr<listener_core> core_;
  std::uint64_t number_;
  peer_executor executor_;
  std::shared_ptr<peer_channel> channel_;
  peer_timer timer_;
  std::function<void(std::uint64_t)> on_ended_;
  session_state state_ = session_state::expects_hello;
  std::string expected_tag_;
  std::unordered_map<std::uint64_t, wire::request_id> calls_;
};

// The one reply that is owed for a call. Its destruction without a reply answers as well.
class reply_slot {
public:
  reply_slot(std::weak_ptr<session> owner, std::uint64_t correlation)
      : owner_(std::move(owner)), correlation_(correlation) {}
  reply_slot(const reply_slot&) = delete;
  reply_slot& operator=(const reply_slot&) = delete;
  ~reply_slot() { send(made_reply(outcome::unknown, result_code::internal_error)); }

  void send(wire::call_reply reply) {
    if (is_sent_.exchange(true)) {
      return;
    }
    if (const auto owner = owner_.lock()) {
      asio::dispatch(owner->executor(),
                     [owner, correlation = correlation_, reply = std::move(reply)]() mutable {
                       owner->send_reply(correlation, std::move(reply));
                     });
    }
  }

private:
  std::weak_ptr<session> owner_;
  std::uint64_t correlation_;
  std::atomic<bool> is_sent_{false};
};

void session::start(std::function<void(std::uint64_t)> on_ended) {
  on_ended_ = std::move(on_ended);
  const std::weak_ptr<session> weak = shared_from_this();
  timer_.expires_after(core_->settings.connect_timeout);
  timer_.async_wait([weak](const asio::error_code& error) {
    if (const auto self = weak.lock(); self && !error && self->state_ != session_state::open) {
      self->close(result_code::peer_not_authenticated);
    }
  });
  channel_->start({[weak](wire::frame frame) {
                     if (const auto self = weak.lock()) {
                       self->handle_frame(std::move(frame));
                     }
                   },
                   [weak](result_code reason) {
                     if (const auto self = weak.lock()) {
                       self->handle_closed(reason);
                     }
                   }});
}

void session::handle_frame(wire::frame frame) {
  const bool is_open = state_ == session_state::open;
  if (auto* request = std::get_if<wire::call_request>(&frame); request && is_open) {
    handle_call(std::move(*request));
    return;
  }
  if (const auto* cancel = std::get_if<wire::call_cancel>(&frame); cancel && is_open) {
    handle_cancel(*cancel);
    return;
  }
  const auto* hello = std::get_if<wire::hello>(&frame);
  if (hello && state_ == session_state::expects_hello) {
    handle_hello(*hello);
    return;
  }
  const auto* proof = std::get_if<wire::proof>(&frame);
  if (proof && state_ == session_state::expects_proof) {
    handle_proof(*proof);
    return;
  }
  close(is_open ? result_code::frame_corrupt : result_code::peer_not_authenticated);
}

void session::handle_hello(const wire::hello& hello) {
  if (hello.version != wire::protocol_version) {
    write_log(log_level::warning, "peer", "a peer speaks another version of the frames");
    close(result_code::peer_not_authenticated);
    return;
  }
  const auto& key = core_->settings.peer_key;
  wire::challenge challenge{.nonce = wire::make_nonce(), .tag = {}};
  challenge.tag = wire::accepting_tag(key, hello.nonce, challenge.nonce);
  expected_tag_ = wire::connecting_tag(key, hello.nonce, challenge.nonce);
  state_ = session_state::expects_proof;
  channel_->send(challenge);
}

void session::handle_proof(const wire::proof& proof) {
  if (!wire::tag_matches(expected_tag_, proof.tag)) {
    write_log(log_level::warning, "peer", "a peer did not prove the shared key");
    close(result_code::peer_not_authenticated);
    return;
  }
  state_ = session_state::open;
  timer_.cancel();
  channel_->accept_all_frames();
}

void session::handle_call(wire::call_request request) {
  const std::uint64_t correlation = request.correlation;
  if (calls_.size() >= core_->settings.max_calls) {
    auto reply = made_reply(outcome::not_run, result_code::queue_full);
    reply.correlation = correlation;
    reply.id = request.id;
    channel_->send(reply);
    return;
  }
  if (!calls_.emplace(correlation, request.id).second) {
    close(result_code::frame_corrupt);
    return;
  }
  core_->counters.in_flight.fetch_add(1, std::memory_order_relaxed);
  const auto slot = std::make_shared<reply_slot>(weak_from_this(), correlation);
  core_->handlers.on_call({number_, correlation}, std::move(request),
                          [slot](wire::call_reply reply) { slot->send(std::move(reply)); });
}

void session::handle_cancel(const wire::call_cancel& cancel) {
  const auto call = calls_.find(cancel.correlation);
  if (call == calls_.end()) {
    return;
  }
  if (call->second != cancel.id) {
    close(result_code::peer_mismatch);
    return;
  }
  calls_.erase(call);
  core_->counters.in_flight.fetch_sub(1, std::memory_order_relaxed);
  core_->handlers.on_cancel({number_, cancel.correlation});
}

void session::send_reply(std::uint64_t correlation, wire::call_reply reply) {
  const auto call = calls_.find(correlation);
  if (call == calls_.end()) {
    return;
  }
  if (const auto status = wire::check_limits(reply); !status.ok()) {
    reply = made_reply(outcome::failed, support::code_of(status));
  }
  reply.correlation = correlation;
  reply.id = call->second;
  calls_.erase(call);
  core_->counters.in_flight.fetch_sub(1, std::memory_order_relaxed);
  if (!channel_->has_room()) {
    close(result_code::peer_stalled);
    return;
  }
  channel_->send(reply);
}

void session::handle_closed(result_code reason) {
  auto& counters = core_->counters;
  if (reason == result_code::peer_not_authenticated) {
    counters.not_authenticated.fetch_add(1, std::memory_order_relaxed);
  }
  if (reason == result_code::frame_corrupt || reason == result_code::frame_too_large) {
    counters.corrupt_frames.fetch_add(1, std::memory_order_relaxed);
    write_log(log_level::warning, "peer", support::describe(reason).text);
  }
  if (reason == result_code::peer_stalled) {
    counters.stalled.fetch_add(1, std::memory_order_relaxed);
  }
  timer_.cancel();
  for (const auto& [correlation, id] : std::exchange(calls_, {})) {
    counters.in_flight.fetch_sub(1, std::memory_order_relaxed);
    core_->handlers.on_cancel({number_, correlation});
  }
  on_ended_(number_);
}

// Holds the acceptor and the connections; kept alive by its pending accept until it is stopped.
class acceptor_loop : public std::enable_shared_from_this<acceptor_loop> {
public:
  acceptor_loop(std::vector<asio::io_context*> contexts, std::shared_ptr<listener_core> core)
      : contexts_(std::move(contexts)), core_(std::move(core)),
        executor_(contexts_.front()->get_executor()), acceptor_(executor_), pause_(executor_) {}

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
  peer_timer pause_;
  peer_address address_;
  std::size_t turn_ = 0;
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
  const peer_executor executor(contexts_[turn_++ % contexts_.size()]->get_executor());
  acceptor_.async_accept(executor, asio::bind_executor(executor_, [self = shared_from_this()](
                                                                      const asio::error_code& error,
                                                                      peer_socket socket) {
                           if (self->is_stopped_ || error == asio::error::operation_aborted) {
                             return;
                           }
                           if (error) {
                             self->pause_.expires_after(accept_pause);
                             self->pause_.async_wait([self](const asio::error_code& stopped) {
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
    self->pause_.cancel();
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
    write_log(log_level::warning, "peer", "traffic between daemons is not authenticated");
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

#include "peer_session.h"

#include <utility>

#include <asio/dispatch.hpp>

#include "acaciasill/support/log.h"
#include "acaciasill/wire/codec.h"

#include "peer_calls.h"

namespace acaciasill::net {
namespace {

using support::log_level;
using support::result_code;
using support::write_log;
using wire::outcome;

std::uint64_t next_connection_number() {
  static std::atomic<std::uint64_t> last{0};
  return last.fetch_add(1, std::memory_order_relaxed) + 1;
}

// Ensures that a call gets exactly one reply; the destructor sends one if none was sent.
class reply_slot {
public:
  reply_slot(std::weak_ptr<session> owner, std::uint64_t correlation)
      : owner_(std::move(owner)), correlation_(correlation) {}
  reply_slot(const reply_slot&) = delete;
  reply_slot& operator=(const reply_slot&) = delete;
  ~reply_slot() { send(make_local_reply(outcome::unknown, result_code::internal_error)); }

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

} // namespace

session::session(std::shared_ptr<listener_core> core, peer_socket socket)
    : core_(std::move(core)), number_(next_connection_number()), executor_(socket.get_executor()),
      channel_(std::make_shared<peer_channel>(std::move(socket), core_->settings)),
      timer_(executor_) {}

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
                   },
                   [core = core_](bool has_output) {
                     auto& count = core->counters.writing;
                     has_output ? count.fetch_add(1, std::memory_order_relaxed)
                                : count.fetch_sub(1, std::memory_order_relaxed);
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
  if (hello && state_ == session_state::awaiting_hello) {
    handle_hello(*hello);
    return;
  }
  const auto* proof = std::get_if<wire::proof>(&frame);
  if (proof && state_ == session_state::awaiting_proof) {
    handle_proof(*proof);
    return;
  }
  close(is_open ? result_code::frame_corrupt : result_code::peer_not_authenticated);
}

void session::handle_hello(const wire::hello& hello) {
  if (hello.version != wire::protocol_version) {
    write_log(log_level::warning, "peer", "peer uses a different protocol version");
    close(result_code::peer_not_authenticated);
    return;
  }
  const auto& key = core_->settings.peer_key;
  wire::challenge challenge{.nonce = wire::make_nonce(), .tag = {}};
  challenge.tag = wire::accepting_tag(key, hello.nonce, challenge.nonce);
  expected_tag_ = wire::connecting_tag(key, hello.nonce, challenge.nonce);
  state_ = session_state::awaiting_proof;
  channel_->send(challenge);
}

void session::handle_proof(const wire::proof& proof) {
  if (!wire::tag_matches(expected_tag_, proof.tag)) {
    write_log(log_level::warning, "peer",
              "peer failed authentication: proof does not match the shared key");
    close(result_code::peer_not_authenticated);
    return;
  }
  state_ = session_state::open;
  timer_.cancel();
  channel_->accept_all_frames();
}

void session::handle_call(wire::call_request request) {
  const std::uint64_t correlation = request.correlation;
  if (request.probe) {
    auto reply = make_local_reply(outcome::completed, result_code::ok);
    reply.correlation = correlation;
    reply.id = request.id;
    channel_->send(reply);
    return;
  }
  if (calls_.size() >= core_->settings.max_calls) {
    auto reply = make_local_reply(outcome::not_run, result_code::queue_full);
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
    reply = make_local_reply(outcome::failed, support::code_of(status));
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

} // namespace acaciasill::net

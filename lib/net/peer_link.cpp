#include "acaciasill/net/peer_link.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include <asio/dispatch.hpp>
#include <asio/post.hpp>

#include "acaciasill/net/peer_channel.h"
#include "acaciasill/support/log.h"
#include "acaciasill/support/random.h"
#include "acaciasill/wire/codec.h"

#include "peer_calls.h"

namespace acaciasill::net {
namespace {

using support::monotonic_now;
using support::result_code;
using support::time_point;
using wire::outcome;

enum class link_state { idle, connecting, handshaking, open, stopped };

class peer_link_impl : public peer_link {
public:
  peer_link_impl(asio::io_context& context, peer_address address, const peer_settings& settings)
      : executor_(context.get_executor()), address_(std::move(address)), settings_(settings),
        timer_(executor_), random_(std::random_device{}()) {}

  std::uint64_t send_call(wire::call_request request, time_point deadline,
                          reply_callback callback) override;
  void cancel(std::uint64_t correlation) override;
  void retire() override;
  void stop() override;
  time_point last_used() const override { return time_point(support::duration(last_used_.load())); }
  const peer_link_counters& counters() const override { return counters_; }

private:
  std::shared_ptr<peer_link_impl> shared_self() {
    return std::static_pointer_cast<peer_link_impl>(shared_from_this());
  }

  void start_call(wire::call_request request, time_point deadline, reply_callback callback);
  void post_local_reply(std::uint64_t correlation, pending_call call, outcome end,
                        result_code code);
  pending_call remove_call(pending_calls::iterator call);
  void abort_call(std::uint64_t correlation, result_code code);
  void write_call(pending_call& call, wire::call_request& request);

  void connect();
  void handle_connected(const asio::error_code& error);
  void handle_frame(wire::frame frame);
  void handle_challenge(const wire::challenge& challenge);
  void handle_reply(wire::call_reply reply);
  void handle_closed(result_code reason);
  void fail_connection_attempt(result_code reason);
  void begin_backoff();

  void arm_timer();
  void handle_timer();
  time_point next_silence_check() const;
  void check_silence(time_point now);
  void send_probe(time_point now);

  peer_executor executor_;
  peer_address address_;
  peer_settings settings_;
  peer_link_counters counters_;
  std::atomic<std::uint64_t> next_correlation_{1};
  std::atomic<support::duration::rep> last_used_{0};

  link_state state_ = link_state::idle;
  bool retired_ = false;
  std::unique_ptr<peer_socket> socket_;
  std::shared_ptr<peer_channel> channel_;
  std::string nonce_;
  std::uint64_t attempt_ = 0;
  time_point connect_deadline_{};
  time_point backoff_until_{};
  support::duration backoff_{0};

  pending_calls calls_;
  std::deque<std::uint64_t> unsent_;
  std::size_t unsent_bytes_ = 0;
  std::uint64_t last_sent_ = 0;
  // Time of the last received frame, or of the first call sent on an idle link if that is later.
  time_point last_activity_{};
  std::optional<time_point> probe_sent_;
  bool is_silent_ = false;
  deadline_heap deadlines_;
  peer_timer timer_;
  time_point timer_expiry_ = time_point::max();
  support::random_source random_;
};

std::uint64_t peer_link_impl::send_call(wire::call_request request, time_point deadline,
                                        reply_callback callback) {
  const std::uint64_t correlation = next_correlation_.fetch_add(1, std::memory_order_relaxed);
  request.correlation = correlation;
  counters_.in_flight.fetch_add(1, std::memory_order_relaxed);
  asio::dispatch(executor_, [link = shared_self(), request = std::move(request), deadline,
                             callback = std::move(callback)]() mutable {
    link->start_call(std::move(request), deadline, std::move(callback));
  });
  return correlation;
}

void peer_link_impl::cancel(std::uint64_t correlation) {
  asio::dispatch(executor_, [link = shared_self(), correlation] {
    link->abort_call(correlation, result_code::cancelled);
  });
}

void peer_link_impl::retire() {
  asio::dispatch(executor_, [link = shared_self()] {
    link->retired_ = true;
    if (link->calls_.empty()) {
      link->stop();
    }
  });
}

void peer_link_impl::stop() {
  asio::dispatch(executor_, [link = shared_self()] {
    if (link->channel_) {
      link->channel_->close(result_code::peer_lost);
    }
    if (link->state_ == link_state::connecting) {
      link->fail_connection_attempt(result_code::peer_unreachable);
    }
    link->state_ = link_state::stopped;
    link->timer_.cancel();
  });
}

void peer_link_impl::start_call(wire::call_request request, time_point deadline,
                                reply_callback callback) {
  const std::uint64_t correlation = request.correlation;
  const time_point now = monotonic_now();
  last_used_.store(now.time_since_epoch().count(), std::memory_order_relaxed);
  pending_call call{request.id, deadline, std::move(callback), nullptr, 0, request.idempotent};
  const auto refuse = [&](result_code code) {
    post_local_reply(correlation, std::move(call), outcome::not_run, code);
  };
  if (const auto status = wire::check_limits(request); !status.ok()) {
    return refuse(support::code_of(status));
  }
  if (deadline <= now) {
    return refuse(result_code::deadline_exceeded);
  }
  const bool is_down = (state_ == link_state::idle && now < backoff_until_) || is_silent_;
  if (state_ == link_state::stopped || retired_ || is_down) {
    return refuse(result_code::peer_unreachable);
  }
  const bool has_room = state_ == link_state::open ? channel_->has_room()
                                                   : unsent_bytes_ < settings_.max_backlog_bytes;
  if (!has_room || calls_.size() >= settings_.max_calls) {
    return refuse(result_code::peer_backlog);
  }
  compact_deadlines(deadlines_, calls_);
  deadlines_.push({deadline, correlation});
  if (calls_.empty()) {
    last_activity_ = now;
  }
  pending_call& pending = calls_.emplace(correlation, std::move(call)).first->second;
  if (state_ == link_state::open) {
    write_call(pending, request);
  } else {
    unsent_.push_back(correlation);
    unsent_bytes_ += backlog_bytes(request);
    pending.unsent = std::make_unique<wire::call_request>(std::move(request));
  }
  if (state_ == link_state::idle) {
    connect();
  }
  arm_timer();
}

void peer_link_impl::post_local_reply(std::uint64_t correlation, pending_call call, outcome end,
                                      result_code code) {
  counters_.in_flight.fetch_sub(1, std::memory_order_relaxed);
  auto reply = make_local_reply(end, code);
  reply.correlation = correlation;
  reply.id = call.id;
  asio::post(executor_, [callback = std::move(call.callback), reply = std::move(reply)]() mutable {
    callback(std::move(reply));
  });
}

pending_call peer_link_impl::remove_call(pending_calls::iterator entry) {
  pending_call call = std::move(entry->second);
  calls_.erase(entry);
  if (call.unsent) {
    unsent_bytes_ -= backlog_bytes(*call.unsent);
  }
  if (retired_ && calls_.empty()) {
    stop();
  }
  return call;
}

void peer_link_impl::abort_call(std::uint64_t correlation, result_code code) {
  const auto entry = calls_.find(correlation);
  if (entry == calls_.end()) {
    return;
  }
  const bool was_sent = entry->second.unsent == nullptr;
  if (was_sent && channel_) {
    channel_->send(wire::call_cancel{.correlation = correlation, .id = entry->second.id});
  }
  post_local_reply(correlation, remove_call(entry), was_sent ? outcome::unknown : outcome::not_run,
                   code);
}

void peer_link_impl::write_call(pending_call& call, wire::call_request& request) {
  const auto left = call.deadline - monotonic_now();
  const auto left_us = std::chrono::duration_cast<support::microseconds>(left).count();
  request.time_left_us = static_cast<std::uint64_t>(std::max<std::int64_t>(left_us, 0));
  call.stream_offset = channel_->send(request);
  last_sent_ = std::max(last_sent_, request.correlation);
}

void peer_link_impl::connect() {
  state_ = link_state::connecting;
  connect_deadline_ = monotonic_now() + settings_.connect_timeout;
  socket_ = std::make_unique<peer_socket>(executor_);
  // The completion of an attempt that timed out may still run; the attempt number identifies it.
  socket_->async_connect(
      address_, [link = shared_self(), attempt = ++attempt_](const asio::error_code& error) {
        if (attempt == link->attempt_) {
          link->handle_connected(error);
        }
      });
}

void peer_link_impl::handle_connected(const asio::error_code& error) {
  if (state_ != link_state::connecting) {
    return;
  }
  if (error) {
    fail_connection_attempt(result_code::peer_unreachable);
    return;
  }
  state_ = link_state::handshaking;
  channel_ = std::make_shared<peer_channel>(std::move(*socket_), settings_);
  socket_.reset();
  // The channel must not keep the link alive; pending operations keep the channel alive.
  const std::weak_ptr<peer_link_impl> weak = shared_self();
  const auto* channel = channel_.get();
  channel_->start({[weak, channel](wire::frame frame) {
                     if (const auto link = weak.lock(); link && link->channel_.get() == channel) {
                       link->handle_frame(std::move(frame));
                     }
                   },
                   [weak, channel](result_code reason) {
                     if (const auto link = weak.lock(); link && link->channel_.get() == channel) {
                       link->handle_closed(reason);
                     }
                   },
                   {}});
  nonce_ = wire::make_nonce();
  channel_->send(wire::hello{.nonce = nonce_});
}

void peer_link_impl::handle_frame(wire::frame frame) {
  last_activity_ = monotonic_now();
  probe_sent_.reset();
  is_silent_ = false;
  if (auto* reply = std::get_if<wire::call_reply>(&frame); reply && state_ == link_state::open) {
    handle_reply(std::move(*reply));
    return;
  }
  const auto* challenge = std::get_if<wire::challenge>(&frame);
  if (challenge && state_ == link_state::handshaking) {
    handle_challenge(*challenge);
    return;
  }
  channel_->close(result_code::frame_corrupt);
}

void peer_link_impl::handle_challenge(const wire::challenge& challenge) {
  const auto& key = settings_.peer_key;
  const auto expected = wire::accepting_tag(key, nonce_, challenge.nonce);
  if (challenge.version != wire::protocol_version || !wire::tag_matches(expected, challenge.tag)) {
    support::write_log(support::log_level::warning, "peer",
                       "peer failed authentication: wrong protocol version or shared key");
    channel_->close(result_code::peer_not_authenticated);
    return;
  }
  channel_->send(wire::proof{.tag = wire::connecting_tag(key, nonce_, challenge.nonce)});
  channel_->accept_all_frames();
  state_ = link_state::open;
  backoff_ = support::duration(0);
  counters_.connects.fetch_add(1, std::memory_order_relaxed);
  for (const std::uint64_t correlation : std::exchange(unsent_, {})) {
    if (const auto call = calls_.find(correlation); call != calls_.end()) {
      const auto request = std::exchange(call->second.unsent, nullptr);
      unsent_bytes_ -= backlog_bytes(*request);
      write_call(call->second, *request);
    }
  }
}

void peer_link_impl::handle_reply(wire::call_reply reply) {
  const auto entry = calls_.find(reply.correlation);
  if (entry == calls_.end() && reply.correlation <= last_sent_) {
    counters_.late_replies.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  if (entry == calls_.end() || entry->second.unsent || entry->second.id != reply.id) {
    counters_.mismatches.fetch_add(1, std::memory_order_relaxed);
    support::write_log(support::log_level::error, "peer", "reply does not match its call");
    channel_->close(result_code::peer_mismatch);
    return;
  }
  counters_.in_flight.fetch_sub(1, std::memory_order_relaxed);
  const auto call = remove_call(entry);
  call.callback(std::move(reply));
}

void peer_link_impl::handle_closed(result_code reason) {
  const auto channel = std::exchange(channel_, nullptr);
  probe_sent_.reset();
  is_silent_ = false;
  if (state_ != link_state::open) {
    const bool is_refused = reason == result_code::peer_not_authenticated;
    fail_connection_attempt(is_refused ? reason : result_code::peer_unreachable);
    return;
  }
  state_ = link_state::idle;
  if (!calls_.empty()) {
    counters_.connections_lost.fetch_add(1, std::memory_order_relaxed);
    begin_backoff();
  }
  const std::uint64_t written = channel->possibly_written();
  for (auto& [correlation, call] : std::exchange(calls_, {})) {
    if (call.stream_offset >= written) {
      post_local_reply(correlation, std::move(call), outcome::not_run,
                       result_code::peer_unreachable);
      continue;
    }
    post_local_reply(correlation, std::move(call), outcome::unknown, reason);
  }
  deadlines_ = {};
}

void peer_link_impl::fail_connection_attempt(result_code reason) {
  counters_.connect_failures.fetch_add(1, std::memory_order_relaxed);
  state_ = link_state::idle;
  socket_.reset();
  begin_backoff();
  for (auto& [correlation, call] : std::exchange(calls_, {})) {
    post_local_reply(correlation, std::move(call), outcome::not_run, reason);
  }
  unsent_.clear();
  unsent_bytes_ = 0;
  deadlines_ = {};
}

void peer_link_impl::begin_backoff() {
  const support::duration min_delay = settings_.min_backoff;
  const support::duration max_delay = settings_.max_backoff;
  backoff_ = std::clamp(backoff_ * 2, min_delay, max_delay);
  backoff_until_ = monotonic_now() + support::jittered(backoff_, random_);
}

void peer_link_impl::arm_timer() {
  time_point target = last_used() + settings_.idle_timeout;
  if (!deadlines_.empty()) {
    target = deadlines_.top().when;
  }
  if (state_ == link_state::connecting || state_ == link_state::handshaking) {
    target = std::min(target, connect_deadline_);
  }
  target = std::min(target, next_silence_check());
  if (target >= timer_expiry_) {
    return;
  }
  timer_expiry_ = target;
  timer_.expires_after(support::time_until(target));
  timer_.async_wait([link = shared_self()](const asio::error_code& error) {
    if (!error && link->state_ != link_state::stopped) {
      link->handle_timer();
    }
  });
}

// Time of the next check for a silent peer.
time_point peer_link_impl::next_silence_check() const {
  if (settings_.silence_timeout.count() == 0 || state_ != link_state::open || calls_.empty()) {
    return time_point::max();
  }
  if (is_silent_) {
    return last_activity_ + settings_.abandon_timeout;
  }
  return probe_sent_.value_or(last_activity_) + settings_.silence_timeout / 2;
}

void peer_link_impl::send_probe(time_point now) {
  wire::call_request probe;
  probe.correlation = next_correlation_.fetch_add(1, std::memory_order_relaxed);
  probe.probe = true;
  channel_->send(probe);
  last_sent_ = std::max(last_sent_, probe.correlation);
  probe_sent_ = now;
}

void peer_link_impl::check_silence(time_point now) {
  if (next_silence_check() > now) {
    return;
  }
  if (!probe_sent_) {
    send_probe(now);
    return;
  }
  if (!is_silent_) {
    is_silent_ = true;
    support::write_event(
        support::log_level::warning, "peer", "peer does not respond",
        {{"address", address_.address().to_string()}, {"calls", std::to_string(calls_.size())}});
    std::vector<std::uint64_t> idempotent_calls;
    for (const auto& [correlation, call] : calls_) {
      if (call.idempotent) {
        idempotent_calls.push_back(correlation);
      }
    }
    for (const auto correlation : idempotent_calls) {
      abort_call(correlation, result_code::peer_stalled);
    }
  }
  if (channel_ && (calls_.empty() || last_activity_ + settings_.abandon_timeout <= now)) {
    channel_->close(result_code::peer_stalled);
  }
}

void peer_link_impl::handle_timer() {
  timer_expiry_ = time_point::max();
  const time_point now = monotonic_now();
  check_silence(now);
  const bool is_connecting = state_ == link_state::connecting || state_ == link_state::handshaking;
  if (is_connecting && connect_deadline_ <= now) {
    if (channel_) {
      channel_->close(result_code::peer_stalled);
    } else {
      fail_connection_attempt(result_code::peer_unreachable);
    }
  }
  while (!deadlines_.empty() && deadlines_.top().when <= now) {
    const auto due = deadlines_.top();
    deadlines_.pop();
    abort_call(due.correlation, result_code::deadline_exceeded);
  }
  while (!deadlines_.empty() && !calls_.contains(deadlines_.top().correlation)) {
    deadlines_.pop();
  }
  const bool is_idle = calls_.empty() && last_used() + settings_.idle_timeout <= now;
  if (is_idle && channel_) {
    channel_->close(result_code::peer_lost);
  }
  if (state_ != link_state::idle || !deadlines_.empty()) {
    arm_timer();
  }
}

} // namespace

std::shared_ptr<peer_link> peer_link::create(asio::io_context& context, peer_address address,
                                             const peer_settings& settings) {
  return std::make_shared<peer_link_impl>(context, std::move(address), settings);
}

} // namespace acaciasill::net

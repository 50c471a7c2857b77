#ifndef ACACIASILL_LIB_NET_PEER_SESSION_H
#define ACACIASILL_LIB_NET_PEER_SESSION_H

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "acaciasill/net/peer_channel.h"
#include "acaciasill/net/peer_listener.h"

namespace acaciasill::net {

// What all connections of one listener share.
struct listener_core {
  peer_settings settings;
  peer_listener_handlers handlers;
  peer_listener_counters counters;
};

// How far the handshake has come.
enum class session_state { expects_hello, expects_proof, open };

// One accepted connection.
class session : public std::enable_shared_from_this<session> {
public:
  session(std::shared_ptr<listener_core> core, peer_socket socket);

  std::uint64_t number() const { return number_; }
  const peer_executor& executor() const { return executor_; }

  // Begins the handshake; on_ended is called once, when the connection has ended.
  void start(std::function<void(std::uint64_t)> on_ended);
  void close(support::result_code reason) { channel_->close(reason); }

  // Sends the reply of a call that is still open; drops it otherwise.
  void send_reply(std::uint64_t correlation, wire::call_reply reply);

private:
  void handle_frame(wire::frame frame);
  void handle_hello(const wire::hello& hello);
  void handle_proof(const wire::proof& proof);
  void handle_call(wire::call_request request);
  void handle_cancel(const wire::call_cancel& cancel);
  void handle_closed(support::result_code reason);

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

} // namespace acaciasill::net

#endif

#ifndef ACACIASILL_LIB_NET_PEER_SESSION_H
#define ACACIASILL_LIB_NET_PEER_SESSION_H

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "acaciasill/net/peer_channel.h"
#include "acaciasill/net/peer_listener.h"

namespace acaciasill::net {

// State shared by all connections of one listener.
struct listener_core {
  peer_settings settings;
  peer_listener_handlers handlers;
  peer_listener_counters counters;
};

// Progress of the handshake.
enum class session_state { awaiting_hello, awaiting_proof, open };

// Accepted connection.
class session : public std::enable_shared_from_this<session> {
public:
  session(std::shared_ptr<listener_core> core, peer_socket socket);

  std::uint64_t number() const { return number_; }
  const peer_executor& executor() const { return executor_; }

  // Starts the handshake. on_ended is called once with the connection's number when it closes.
  void start(std::function<void(std::uint64_t)> on_ended);
  void close(support::result_code reason) { channel_->close(reason); }

  // Sends the reply of a pending call; discards it if the call has ended.
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
  session_state state_ = session_state::awaiting_hello;
  std::string expected_tag_;
  std::unordered_map<std::uint64_t, wire::request_id> calls_;
};

} // namespace acaciasill::net

#endif

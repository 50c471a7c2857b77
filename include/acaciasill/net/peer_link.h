#ifndef ACACIASILL_NET_PEER_LINK_H
#define ACACIASILL_NET_PEER_LINK_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

#include <asio/io_context.hpp>
#include <asio/strand.hpp>

#include "acaciasill/net/peer_settings.h"
#include "acaciasill/support/time.h"
#include "acaciasill/wire/call.h"

namespace acaciasill::net {

// Receives the one reply of a call. It runs on the link's I/O context, never inside send_call or
// cancel, and does not run any more once that context is destroyed.
// Where no reply came, the link makes one:
//   not_run with peer_unreachable: no byte of the call was written;
//   not_run with peer_not_authenticated: the peer did not prove that it holds the shared key;
//   not_run with peer_backlog: too much waits on the connection, so nothing was written;
//   not_run with deadline_exceeded: the deadline passed before the call was written;
//   not_run with cancelled: cancelled before the call was written;
//   not_run with bad_request, body_too_large or frame_too_large: the call is over a limit;
//   unknown with peer_lost, peer_stalled, peer_mismatch, frame_corrupt or frame_too_large: the
//     connection ended later, for that reason;
//   unknown with deadline_exceeded or cancelled: the peer was told to stop the call.
using reply_callback = std::function<void(wire::call_reply)>;

// Counters of one link, for metrics; each may be read from any thread.
struct peer_link_counters {
  std::atomic<std::uint64_t> connects{0};
  std::atomic<std::uint64_t> connect_failures{0};
  std::atomic<std::uint64_t> connections_lost{0};
  std::atomic<std::uint64_t> late_replies{0};
  std::atomic<std::uint64_t> mismatches{0};
  std::atomic<std::uint64_t> in_flight{0};
};

// One outgoing, persistent, multiplexed connection to a peer. It connects when the first call needs
// it, and again, after a jittered backoff, when it was lost. All methods may be called from any
// thread. Make it with create; the object stays alive until stop, or its I/O context, lets it go.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
  using executor = asio::strand<asio::io_context::executor_type>;

  static std::shared_ptr<peer_link> create(asio::io_context& context, peer_address address,
                                           const peer_settings& settings);
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;
  virtual ~peer_link() = default;

  // Sends a call and returns its correlation id, which the link chooses and writes into the request
  // as it does time_left_us. The callback is called exactly once.
  virtual std::uint64_t send_call(wire::call_request request, support::time_point deadline,
                                  reply_callback callback) = 0;

  // Gives a call up: the peer is told, a late reply is dropped, and the callback receives the
  // outcome cancelled. Does nothing for a call that has ended.
  virtual void cancel(std::uint64_t correlation) = 0;

  // Refuses further calls, and closes the connection once the present ones have ended.
  virtual void retire() = 0;

  // Closes the connection, ends all calls, and refuses further ones.
  virtual void stop() = 0;

  // The moment at which the last call was sent, for the pool's bound.
  virtual support::time_point last_used() const = 0;

  virtual const peer_link_counters& counters() const = 0;

protected:
  peer_link() = default;
};

} // namespace acaciasill::net

#endif

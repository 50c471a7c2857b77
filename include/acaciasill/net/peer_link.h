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

// Callback for the reply of a call. It runs exactly once on the link's I/O context, never inside
// send_call or cancel, unless the context is destroyed first.
// If the peer sends no reply, the link generates one:
//   not_run with peer_unreachable: no byte of the call was written;
//   not_run with peer_not_authenticated: the peer did not prove that it holds the shared key;
//   not_run with peer_backlog: the connection's queue is full, so nothing was written;
//   not_run with deadline_exceeded: the deadline passed before the call was written;
//   not_run with cancelled: the call was cancelled before it was written;
//   not_run with body_too_large or frame_too_large: the call exceeds a limit;
//   unknown with peer_lost, peer_stalled, peer_mismatch, frame_corrupt or frame_too_large: the
//     connection closed for that reason after the call may have been written;
//   unknown with peer_stalled: the peer does not respond and the call was idempotent;
//   unknown with deadline_exceeded or cancelled: a cancellation was sent to the peer.
using reply_callback = std::function<void(wire::call_reply)>;

// Metrics of one link. Each counter may be read from any thread.
struct peer_link_counters {
  std::atomic<std::uint64_t> connects{0};
  std::atomic<std::uint64_t> connect_failures{0};
  std::atomic<std::uint64_t> connections_lost{0};
  std::atomic<std::uint64_t> late_replies{0};
  std::atomic<std::uint64_t> mismatches{0};
  std::atomic<std::uint64_t> in_flight{0};
};

// Outgoing, persistent, multiplexed connection to a peer. It connects on the first call and
// reconnects on demand after a jittered backoff. All methods may be called from any thread. The
// link's pending operations keep it alive until stop is called or the I/O context is destroyed.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
  using executor = asio::strand<asio::io_context::executor_type>;

  static std::shared_ptr<peer_link> create(asio::io_context& context, peer_address address,
                                           const peer_settings& settings);
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;
  virtual ~peer_link() = default;

  // Sends a call and returns its correlation id. The link sets correlation and time_left_us of the
  // request. The callback is called exactly once.
  virtual std::uint64_t send_call(wire::call_request request, support::time_point deadline,
                                  reply_callback callback) = 0;

  // Cancels a call: sends a cancellation to the peer if the call was sent, ends the call with the
  // code cancelled, and discards a late reply. Does nothing for a call that has ended.
  virtual void cancel(std::uint64_t correlation) = 0;

  // Refuses new calls and closes the connection once the calls in flight have ended.
  virtual void retire() = 0;

  // Closes the connection, ends all calls in flight, and refuses new calls.
  virtual void stop() = 0;

  // Time of the last call to send_call that reached the link's executor; used for eviction from
  // the pool.
  virtual support::time_point last_used() const = 0;

  virtual const peer_link_counters& counters() const = 0;

protected:
  peer_link() = default;
};

} // namespace acaciasill::net

#endif

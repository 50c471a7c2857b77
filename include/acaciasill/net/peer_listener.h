#ifndef ACACIASILL_NET_PEER_LISTENER_H
#define ACACIASILL_NET_PEER_LISTENER_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include <asio/io_context.hpp>

#include "absl/status/statusor.h"

#include "acaciasill/net/peer_settings.h"
#include "acaciasill/wire/call.h"

namespace acaciasill::net {

// Names a call that arrived at a listener; never used again while the process lives.
struct call_key {
  std::uint64_t connection = 0;
  std::uint64_t correlation = 0;

  // The linter takes the zero that a generated comparison is compared with for a pointer.
  auto operator<=>(const call_key&) const = default; // NOLINT(modernize-use-nullptr)
};

// Sends the reply of one call: correlation and id are filled in. It may be called from any thread;
// a second call does nothing. Where every copy is destroyed without a call, unknown with
// internal_error is sent. A reply over the limits becomes failed with its code.
using call_responder = std::function<void(wire::call_reply)>;

// What a listener tells its owner, on the connection's I/O context.
struct peer_listener_handlers {
  // A call arrived.
  std::function<void(const call_key&, wire::call_request, call_responder)> on_call;
  // The caller cancelled a call, or its connection was lost. It comes after on_call returned and at
  // most once, and may cross with the reply.
  std::function<void(const call_key&)> on_cancel;
};

// Counters of a listener, for metrics; each may be read from any thread.
struct peer_listener_counters {
  std::atomic<std::uint64_t> connections{0};
  std::atomic<std::uint64_t> accepted{0};
  std::atomic<std::uint64_t> refused{0};
  std::atomic<std::uint64_t> not_authenticated{0};
  std::atomic<std::uint64_t> corrupt_frames{0};
  std::atomic<std::uint64_t> stalled{0};
  std::atomic<std::uint64_t> in_flight{0};
};

// Accepts the connections of peers, authenticates them, and hands their calls on.
class peer_listener {
public:
  // Binds the address and starts to accept; port_in_use where it cannot be bound. Connections are
  // spread over the contexts, which outlive the listener.
  static absl::StatusOr<std::unique_ptr<peer_listener>>
  listen(const std::vector<asio::io_context*>& contexts, const peer_address& address,
         const peer_settings& settings, peer_listener_handlers handlers);
  peer_listener(const peer_listener&) = delete;
  peer_listener& operator=(const peer_listener&) = delete;
  virtual ~peer_listener() = default;

  // The address that was bound, with the port that the system chose where 0 was asked for.
  virtual peer_address address() const = 0;

  // Accepts no more connections; the present ones go on.
  virtual void stop_accepting() = 0;

  // Closes all connections as well; their calls are cancelled.
  virtual void stop() = 0;

  virtual const peer_listener_counters& counters() const = 0;

protected:
  peer_listener() = default;
};

} // namespace acaciasill::net

#endif

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

// Identifies a call received by a listener. Keys are not reused within a process.
struct call_key {
  std::uint64_t connection = 0;
  std::uint64_t correlation = 0;

  // The linter mistakes the zero in the generated comparison for a null pointer.
  auto operator<=>(const call_key&) const = default; // NOLINT(modernize-use-nullptr)
};

// Sends the reply of one call and sets its correlation and id. It may be called from any thread;
// further calls have no effect. If all copies are destroyed without a reply, the outcome unknown
// with internal_error is sent. A reply that exceeds the limits is replaced by the outcome failed
// with the code of the limit.
using call_responder = std::function<void(wire::call_reply)>;

// Callbacks of a listener. They run on the connection's I/O context.
struct peer_listener_handlers {
  // Receives a call.
  std::function<void(const call_key&, wire::call_request, call_responder)> on_call;
  // Reports that the caller cancelled a call or its connection was lost. Called at most once per
  // call, after on_call returned; the reply may be under way at the same time.
  std::function<void(const call_key&)> on_cancel;
};

// Metrics of a listener. Each counter may be read from any thread.
struct peer_listener_counters {
  std::atomic<std::uint64_t> connections{0};
  std::atomic<std::uint64_t> accepted{0};
  std::atomic<std::uint64_t> refused{0};
  std::atomic<std::uint64_t> not_authenticated{0};
  std::atomic<std::uint64_t> corrupt_frames{0};
  std::atomic<std::uint64_t> stalled{0};
  std::atomic<std::uint64_t> in_flight{0};
  // Connections with replies that are not written completely.
  std::atomic<std::uint64_t> writing{0};
};

// Accepts and authenticates connections of peers and passes their calls to the handlers.
class peer_listener {
public:
  // Binds the address and starts to accept. Connections are distributed round-robin over the
  // contexts, which must outlive the listener. Fails with port_in_use if the address cannot be
  // bound, and with the errors of check_settings.
  static absl::StatusOr<std::unique_ptr<peer_listener>>
  listen(const std::vector<asio::io_context*>& contexts, const peer_address& address,
         const peer_settings& settings, peer_listener_handlers handlers);
  peer_listener(const peer_listener&) = delete;
  peer_listener& operator=(const peer_listener&) = delete;
  virtual ~peer_listener() = default;

  // Bound address, with the port chosen by the system if port 0 was requested.
  virtual peer_address address() const = 0;

  // Stops accepting connections; established connections are kept.
  virtual void stop_accepting() = 0;

  // Stops accepting, closes all connections and cancels their calls.
  virtual void stop() = 0;

  virtual const peer_listener_counters& counters() const = 0;

protected:
  peer_listener() = default;
};

} // namespace acaciasill::net

#endif

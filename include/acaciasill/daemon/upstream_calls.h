#ifndef ACACIASILL_DAEMON_UPSTREAM_CALLS_H
#define ACACIASILL_DAEMON_UPSTREAM_CALLS_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "acaciasill/daemon/daemon_settings.h"
#include "acaciasill/wire/call.h"

namespace acaciasill::board {
struct call_board;
}

// Calls that have reached the daemon beside their backend server: admission, the queue, the
// exchange with the backend server and the reply.
namespace acaciasill::daemon {

class call_metrics;
struct edge_protocol;
struct key_claims;
struct request_thread;

// What the control part is told of the local backend server, from any request thread.
struct backend_observer {
  // A request to it ended; whether the server was reached at all.
  std::function<void(bool reached)> on_exchange = [](bool) {};
};

using upstream_reply = std::function<void(wire::call_reply)>;

// What the calls of one daemon share.
struct upstream_environment {
  board::call_board* board = nullptr;
  std::vector<request_thread*> threads;
  call_metrics* metrics = nullptr;
  // Claims of idempotency keys; none without a platform.
  key_claims* claims = nullptr;
  operating_mode mode = operating_mode::protect;
  const edge_protocol* protocol = nullptr;
  backend_observer observer;
};

// Serves calls for the local backend server. serve and cancel run on the thread that they name; the
// queue lives on the first thread.
class upstream_calls {
public:
  explicit upstream_calls(upstream_environment environment);
  ~upstream_calls();
  upstream_calls(const upstream_calls&) = delete;
  upstream_calls& operator=(const upstream_calls&) = delete;

  // Starts the periodic control of thresholds and limit on the first thread.
  void start();

  // Serves a call and returns its id on this thread. The reply comes once, on this thread, and may
  // come before serve returns.
  std::uint64_t serve(request_thread& home, wire::call_request request, upstream_reply reply);

  // The caller has gone: the call is stopped wherever it is, and nothing is replied that matters.
  void cancel(request_thread& home, std::uint64_t call);

  // Tells when the local backend server announced itself, for slow start. From any thread.
  void backend_announced(bool cold);

  // Tells that the local backend server takes no more work: calls that wait for it are refused, so
  // that they go elsewhere. From any thread.
  void backend_gone();

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace acaciasill::daemon

#endif

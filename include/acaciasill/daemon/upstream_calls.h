#ifndef ACACIASILL_DAEMON_UPSTREAM_CALLS_H
#define ACACIASILL_DAEMON_UPSTREAM_CALLS_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "acaciasill/daemon/daemon_settings.h"
#include "acaciasill/decide/crash_suspects.h"
#include "acaciasill/wire/call.h"

namespace acaciasill::board {
struct call_board;
}

// Call handling at the upstream's daemon: admission, queueing, the exchange with the backend server
// and the reply.
namespace acaciasill::daemon {

class call_metrics;
struct edge_protocol;
struct key_claims;
struct request_thread;

// Notifications about the local backend server, called from any request thread.
struct backend_observer {
  // Called when a request to the server ends; reached is false if it could not be sent.
  std::function<void(bool reached)> on_exchange = [](bool) {};
  // Called when an instance states in an answer that it is leaving.
  std::function<void(const std::string& instance, std::uint64_t start_ms)> on_leaving =
      [](const std::string&, std::uint64_t) {};
  // Called when a connection ends without an answer to the request on it.
  std::function<void(decide::content_hash)> on_unanswered = [](decide::content_hash) {};
  // Called when the server has answered a request that was suspected to crash it.
  std::function<void(decide::content_hash)> on_suspect_answered = [](decide::content_hash) {};
};

using upstream_reply = std::function<void(wire::call_reply)>;

// State and components shared by all calls of a daemon.
struct upstream_environment {
  board::call_board* board = nullptr;
  std::vector<request_thread*> threads;
  call_metrics* metrics = nullptr;
  // Operations for idempotency key claims; null without a platform.
  key_claims* claims = nullptr;
  operating_mode mode = operating_mode::protect;
  const edge_protocol* protocol = nullptr;
  backend_observer observer;
};

// Serves calls for the local backend server. serve and cancel run on the given thread; the queue
// runs on the first thread.
class upstream_calls {
public:
  explicit upstream_calls(upstream_environment environment);
  ~upstream_calls();
  upstream_calls(const upstream_calls&) = delete;
  upstream_calls& operator=(const upstream_calls&) = delete;

  // Starts the periodic control of the thresholds and the concurrency limit on the first thread.
  void start();

  // Serves a call and returns its id on this thread. The reply is delivered once, on this thread,
  // possibly before serve returns.
  std::uint64_t serve(request_thread& home, wire::call_request request, upstream_reply reply);

  // Cancels a call at any stage, after its caller has disconnected. The content of the reply no
  // longer matters.
  void cancel(request_thread& home, std::uint64_t call);

  // Records that the local backend server has announced itself, for slow start. Thread-safe.
  void backend_announced(bool cold);

  // Refuses all queued calls when the local backend server stops accepting calls, so that they are
  // retried elsewhere. Thread-safe.
  void refuse_queued_calls();

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace acaciasill::daemon

#endif

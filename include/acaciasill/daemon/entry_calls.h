#ifndef ACACIASILL_DAEMON_ENTRY_CALLS_H
#define ACACIASILL_DAEMON_ENTRY_CALLS_H

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "acaciasill/daemon/daemon_settings.h"
#include "acaciasill/net/http_server.h"

namespace acaciasill::board {
struct call_board;
}
namespace acaciasill::net {
class peer_pool;
}

// Calls that outside callers and the local backend server make through this daemon: classification,
// load shedding at the entry, upstream selection, retries and the response.
namespace acaciasill::daemon {

class call_metrics;
struct edge_protocol;
class permit_service;
class upstream_calls;
struct request_thread;

// State and components shared by all calls of a daemon.
struct entry_environment {
  board::call_board* board = nullptr;
  std::vector<request_thread*> threads;
  call_metrics* metrics = nullptr;
  net::peer_pool* peers = nullptr;
  upstream_calls* upstream = nullptr;
  operating_mode mode = operating_mode::protect;
  // Address at which this daemon accepts calls of other daemons, as "ip:port"; calls to it are
  // handled in process.
  std::string own_call_address;
  const edge_protocol* protocol = nullptr;
  permit_service* permits = nullptr;
};

// Path prefix of all calls; the service name follows.
inline constexpr char call_prefix[] = "/svc/";

class entry_calls {
public:
  explicit entry_calls(entry_environment environment);
  ~entry_calls();
  entry_calls(const entry_calls&) = delete;
  entry_calls& operator=(const entry_calls&) = delete;

  // Serves a request below call_prefix on the thread that received it. The responder is called
  // once.
  void serve(request_thread& home, net::http_request request, net::http_responder respond);

  // Cancels all calls of a connection that the caller has closed, including their upstream
  // attempts.
  void connection_closed(request_thread& home, std::uint64_t connection);

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace acaciasill::daemon

#endif

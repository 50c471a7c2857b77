#ifndef ACACIASILL_DAEMON_CALL_PLANE_H
#define ACACIASILL_DAEMON_CALL_PLANE_H

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "absl/status/status.h"

#include "acaciasill/daemon/daemon_settings.h"
#include "acaciasill/daemon/edge_protocol.h"
#include "acaciasill/daemon/upstream_calls.h"
#include "acaciasill/net/http_client.h"
#include "acaciasill/net/http_server.h"
#include "acaciasill/net/peer_listener.h"
#include "acaciasill/net/peer_pool.h"

namespace acaciasill::board {
struct call_board;
}

// The data path of a daemon: the request threads, the connections to other daemons, call handling
// on the caller's and the upstream's side, and the HTTP servers for callers.
namespace acaciasill::daemon {

class call_metrics;
class entry_calls;
class permit_service;
struct key_claims;
struct request_thread;

struct call_plane_settings {
  std::size_t threads = 1;
  // Address that accepts calls from other daemons, as "ip:port".
  std::string peer_listen;
  net::peer_settings peers;
  std::uint32_t max_body_bytes = 0;
  // Limit on the memory of the backend server's incomplete answers on each request thread, in
  // bytes.
  std::size_t max_buffered_bytes = net::default_max_buffered_bytes;
  operating_mode mode = operating_mode::protect;
};

class call_plane {
public:
  call_plane(const call_plane_settings& settings, edge_protocol protocol, board::call_board& board,
             call_metrics& metrics);
  ~call_plane();
  call_plane(const call_plane&) = delete;
  call_plane& operator=(const call_plane&) = delete;

  // Binds the address for other daemons. Errors: port_in_use, or those of an invalid address.
  absl::Status open();

  // Creates the call path. Must be called before the threads start. Claims of idempotency keys are
  // optional.
  void make_call_path(key_claims* claims, backend_observer observer);

  // Binds the same HTTP address on every request thread; the function creates the callbacks of each
  // thread. Errors: port_in_use.
  absl::Status
  serve_http(net::http_server_settings settings,
             const std::function<net::http_server_callbacks(request_thread&)>& callbacks);

  void start_threads();

  // Stops and joins the request threads.
  void stop_threads();

  // Stops accepting connections from daemons and callers.
  void stop_accepting();

  // Runs the function for each HTTP server, on the server's request thread.
  void for_each_server(const std::function<void(net::http_server&)>& function);

  // Number of connections with callers and with other daemons that have an answer that is not
  // written completely. May be called from any thread.
  std::size_t unwritten_answers() const;

  entry_calls& entry() { return *entry_; }
  upstream_calls& upstream() { return *upstream_; }
  const std::string& call_address() const { return call_address_; }
  std::vector<request_thread*> threads();

private:
  void on_peer_call(const net::call_key& key, wire::call_request request,
                    net::call_responder respond);
  void on_peer_cancel(const net::call_key& key);
  std::vector<asio::io_context*> contexts();
  request_thread& this_thread();

  using peer_call_table = std::map<net::call_key, std::uint64_t>;

  static thread_local std::size_t current_thread_index;

  call_plane_settings settings_;
  edge_protocol protocol_;
  board::call_board& board_;
  call_metrics& metrics_;
  std::vector<std::unique_ptr<request_thread>> threads_;
  std::string call_address_;
  std::vector<peer_call_table> peer_calls_;
  std::unique_ptr<net::peer_listener> listener_;
  std::unique_ptr<net::peer_pool> peers_;
  std::unique_ptr<permit_service> permits_;
  std::unique_ptr<upstream_calls> upstream_;
  std::unique_ptr<entry_calls> entry_;
  std::vector<std::unique_ptr<net::http_server>> servers_;
};

// Number of calls that run or whose answers are not written completely. A stopping daemon waits for
// them.
std::uint64_t unanswered_calls(const board::call_board& board, const call_plane& plane);

// Returns a seed from the system's random device.
std::uint64_t random_seed();

} // namespace acaciasill::daemon

#endif

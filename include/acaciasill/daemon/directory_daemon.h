#ifndef ACACIASILL_DAEMON_DIRECTORY_DAEMON_H
#define ACACIASILL_DAEMON_DIRECTORY_DAEMON_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <asio/io_context.hpp>

#include "absl/status/statusor.h"

#include "acaciasill/control/backend_life.h"
#include "acaciasill/control/table_store.h"
#include "acaciasill/daemon/edge_protocol.h"
#include "acaciasill/model/configuration.h"
#include "acaciasill/net/http_server.h"
#include "acaciasill/support/time.h"

// A daemon whose platform keeps the directory of daemons and the configuration in a table service
// with a feed. It is put together from the same call path as daemon_process, without gossip.
namespace acaciasill::daemon {

struct directory_daemon_settings {
  std::string name;
  std::string data_centre;
  std::string region;
  // The service of the backend server beside this daemon.
  std::string service;
  // Where callers and the local backend server send requests, "ip:port".
  std::string callers_listen;
  // Where other daemons send calls.
  std::string peer_listen;
  // Where metrics and the status are served.
  std::string metrics_listen;
  std::uint32_t threads = 1;
  // The largest body of a request or a response, in bytes.
  std::uint32_t max_body_bytes = std::uint32_t{4} << 20U;
  // The longest time that a stop may take; the platform kills the process afterwards.
  support::milliseconds stop_time{6000};
  // The time after which the platform's callers have noticed that the daemon stops.
  support::milliseconds notice_time{2500};
  // The time without a report or an answer after which the local backend server counts as lost.
  support::milliseconds silence_limit{6000};

  bool operator==(const directory_daemon_settings&) const = default;
};

// A configuration as it was read from the platform.
struct published_set {
  // Rises with each configuration; an older one never replaces a newer one.
  std::uint64_t version = 0;
  model::configuration set;
  // Bounds on what callers may send: header and body bytes, header and idle times.
  net::http_server_settings caller_limits;
};

// What a look at the local backend server showed.
struct backend_probe {
  std::string instance;
  // Whether it says that it is healthy and not leaving.
  bool serving = false;
  std::uint32_t slots = 0;

  bool operator==(const backend_probe&) const = default;
};

// What the platform's adapter brings.
struct platform_adapter {
  control::table_store store;
  edge_protocol protocol;
  // The table and the key of the configuration, and how its row is read.
  std::string configuration_table;
  std::string configuration_key;
  std::function<absl::StatusOr<published_set>(const control::stored_row&)> read_configuration;
  // Looks at the local backend server; nothing where it does not answer.
  std::function<void(std::function<void(std::optional<backend_probe>)>)> probe_backend;
  // Where the local backend server takes requests, "ip:port".
  std::string backend_address;
};

// One daemon. All functions are called on the control thread, which runs the context.
class directory_daemon {
public:
  directory_daemon(asio::io_context& control_context, const directory_daemon_settings& settings,
                   platform_adapter adapter);
  ~directory_daemon();
  directory_daemon(const directory_daemon&) = delete;
  directory_daemon& operator=(const directory_daemon&) = delete;

  // Binds the addresses and starts the request threads. Errors: port_in_use, out_of_range.
  absl::Status start();

  // Takes in what the local backend server says of itself.
  void take_report(const control::backend_report& report);

  // Takes in that a life of the local backend server has gone.
  void take_departure(const std::string& instance, std::optional<std::uint64_t> start_ms);

  // Whether callers may send work: a configuration is in force and the daemon does not stop.
  bool is_ready() const;

  // Begins a graceful stop; the context is stopped at its end.
  void stop();

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace acaciasill::daemon

#endif

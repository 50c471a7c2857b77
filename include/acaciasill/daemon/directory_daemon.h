#ifndef ACACIASILL_DAEMON_DIRECTORY_DAEMON_H
#define ACACIASILL_DAEMON_DIRECTORY_DAEMON_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "absl/status/statusor.h"

#include "acaciasill/control/backend_state.h"
#include "acaciasill/control/table_store.h"
#include "acaciasill/daemon/edge_protocol.h"
#include "acaciasill/model/configuration.h"
#include "acaciasill/model/settings_reader.h"
#include "acaciasill/net/http_server.h"
#include "acaciasill/support/time.h"

// A daemon for platforms that store the directory of daemons and the configuration in a table
// service with a change feed. It uses the same call path as daemon_process, without gossip.
namespace acaciasill::daemon {

struct directory_daemon_settings {
  std::string name;
  std::string data_centre;
  std::string region;
  // Service of the local backend server.
  std::string service;
  // HTTP address for callers and the local backend server, as "ip:port".
  std::string callers_listen;
  // Address for calls from other daemons, as "ip:port".
  std::string peer_listen;
  // Address that serves metrics and the copies of the tables, as "ip:port".
  std::string metrics_listen;
  std::uint32_t threads = 1;
  // Maximum body size of a request or a response, in bytes.
  std::uint32_t max_body_bytes = std::uint32_t{4} << 20U;
  // Memory that the process may use, in MiB; 0 if it is not known.
  std::uint32_t memory_mb = 0;
  // Maximum duration of a graceful stop; the platform kills the process afterwards.
  support::milliseconds stop_time{6000};
  // Time within which the platform's callers detect that the daemon is stopping.
  support::milliseconds caller_notice_time{2500};
  // Time within which a configuration has to be in force.
  support::milliseconds configuration_bound{2000};
  // Time without a report or a response after which the local backend server is considered lost.
  support::milliseconds backend_timeout{6000};

  bool operator==(const directory_daemon_settings&) const = default;
};

// Limit on the memory of the backend server's incomplete answers on each request thread, in bytes:
// all threads together a quarter of the process's memory, or the default of the HTTP client each.
std::size_t max_buffered_bytes(const directory_daemon_settings& settings);

// A configuration read from the platform.
struct published_configuration {
  // Increases with each configuration; an older configuration never replaces a newer one.
  std::uint64_t version = 0;
  model::configuration set;
  // Objects that could not be read and that the set therefore lacks, or holds as unusable.
  std::vector<model::finding> unreadable;
  // Limits on callers' requests: header and body sizes in bytes, header and idle timeouts.
  net::http_server_settings caller_limits;
};

// Result of a health probe of the local backend server.
struct backend_probe {
  std::string instance;
  // Whether the server reports that it is healthy and not leaving.
  bool serving = false;
  std::uint32_t slots = 0;
  // Whether no connection to the server could be established; the other members are then empty.
  bool refused = false;
  // Whether the server states that it is leaving.
  bool leaving = false;

  bool operator==(const backend_probe&) const = default;
};

// Platform-specific storage, protocol and probes.
struct platform_adapter {
  control::table_store store;
  edge_protocol protocol;
  // Table and key of the configuration row, and the function that parses the row.
  std::string configuration_table;
  std::string configuration_key;
  std::function<absl::StatusOr<published_configuration>(const control::stored_row&)>
      read_configuration;
  // Probes the local backend server; passes nullopt if it gives no valid response.
  std::function<void(std::function<void(std::optional<backend_probe>)>)> probe_backend;
  // Address of the local backend server, as "ip:port".
  std::string backend_address;
};

// A directory-based daemon. All functions are called on the control thread, which runs the context.
class directory_daemon {
public:
  directory_daemon(asio::io_context& control_context, const directory_daemon_settings& settings,
                   platform_adapter adapter);
  ~directory_daemon();
  directory_daemon(const directory_daemon&) = delete;
  directory_daemon& operator=(const directory_daemon&) = delete;

  // Binds the addresses and starts the request threads. Errors: port_in_use, out_of_range.
  absl::Status start();

  // Applies a report of the local backend server.
  void handle_report(const control::backend_report& report);

  // Records that an instance of the local backend server has left.
  void handle_departure(const std::string& instance, std::optional<std::uint64_t> start_ms);

  // Whether callers may send calls: a configuration is in force and the daemon is not stopping.
  bool is_ready() const;

  // Starts a graceful stop; the context is stopped when it is complete.
  void stop();

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace acaciasill::daemon

#endif

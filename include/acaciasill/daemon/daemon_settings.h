#ifndef ACACIASILL_DAEMON_DAEMON_SETTINGS_H
#define ACACIASILL_DAEMON_DAEMON_SETTINGS_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "acaciasill/model/settings_reader.h"
#include "acaciasill/support/log.h"
#include "acaciasill/support/time.h"

// Settings file of a daemon.
namespace acaciasill::daemon {

// Whether the daemon applies overload control or only forwards calls. Passthrough is the baseline
// for benchmarks: no admission control, no retries, a random upstream.
enum class operating_mode : std::uint8_t { protect, passthrough };

// Settings of one daemon. Addresses are "ip:port"; port 0 lets the system choose.
struct daemon_settings {
  std::string name = "daemon";
  std::string data_centre = "local";
  std::string region = "local";
  // HTTP address for callers, the local backend server and operators.
  std::string http_listen = "127.0.0.1:0";
  // Addresses for calls (TCP) and gossip datagrams (UDP) from other daemons.
  std::string peer_listen = "127.0.0.1:0";
  std::string gossip_listen = "127.0.0.1:0";
  // Gossip addresses of the daemons that are contacted first to join the cluster.
  std::vector<std::string> seeds;
  // Base URL of the platform's service; empty for none.
  std::string platform_url;
  // Folder with a configuration set that is used without the platform; empty for none.
  std::string configuration_dir;
  operating_mode mode = operating_mode::protect;
  // Number of request threads.
  std::uint32_t threads = 2;
  // Pre-shared key of all daemons.
  std::string peer_key;
  bool allow_unauthenticated = false;
  // Whether a new daemon that reaches no other member serves with the embedded default
  // configuration.
  bool serve_without_configuration = false;
  // Maximum body size of a request or a response, in bytes.
  std::uint32_t max_body_bytes = 1U << 20U;
  // Maximum time that a graceful stop waits for calls in flight.
  support::milliseconds stop_timeout{30000};
  // Time without a heartbeat after which the local backend server is considered lost.
  support::milliseconds heartbeat_timeout{3500};
  support::log_settings log;

  bool operator==(const daemon_settings&) const = default;
};

// Reads the settings through the reader, which collects errors as findings.
void read_daemon_settings(model::settings_reader& reader, daemon_settings& settings);

} // namespace acaciasill::daemon

#endif

#ifndef ACACIASILL_DAEMON_DAEMON_SETTINGS_H
#define ACACIASILL_DAEMON_DAEMON_SETTINGS_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "acaciasill/model/settings_reader.h"
#include "acaciasill/support/log.h"
#include "acaciasill/support/time.h"

// What one daemon is told by its settings file.
namespace acaciasill::daemon {

// Whether the daemon protects its backend server or only passes calls through. The second is the
// baseline of measurements: no admission, no retries, a random upstream.
enum class operating_mode : std::uint8_t { protect, passthrough };

// The settings of one daemon. Addresses are "ip:port"; port 0 lets the system choose.
struct daemon_settings {
  std::string name = "daemon";
  std::string data_centre = "local";
  std::string region = "local";
  // Where callers, the local backend server and operators send HTTP.
  std::string http_listen = "127.0.0.1:0";
  // Where other daemons send calls (TCP) and datagrams (UDP).
  std::string peer_listen = "127.0.0.1:0";
  std::string gossip_listen = "127.0.0.1:0";
  // Gossip addresses of daemons for the first contact.
  std::vector<std::string> seeds;
  // The base URL of the platform's service; empty for none.
  std::string platform_url;
  // A folder with a configuration set that is served without the platform; empty for none.
  std::string configuration_dir;
  operating_mode mode = operating_mode::protect;
  // Threads that serve calls.
  std::uint32_t threads = 2;
  // The key that all daemons share.
  std::string peer_key;
  bool allow_unauthenticated = false;
  // Whether a fresh daemon that reaches nobody serves by its embedded defaults.
  bool serve_without_configuration = false;
  // The largest body of a request or a response, in bytes.
  std::uint32_t max_body_bytes = 1U << 20U;
  // The longest time that a graceful stop waits for calls in flight.
  support::milliseconds stop_timeout{30000};
  // The time without a heartbeat after which the local backend server counts as lost.
  support::milliseconds heartbeat_timeout{3500};
  support::log_settings log;

  bool operator==(const daemon_settings&) const = default;
};

// Reads the settings through the reader, which collects the findings.
void read_daemon_settings(model::settings_reader& reader, daemon_settings& settings);

} // namespace acaciasill::daemon

#endif

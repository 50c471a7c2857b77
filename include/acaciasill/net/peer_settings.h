#ifndef ACACIASILL_NET_PEER_SETTINGS_H
#define ACACIASILL_NET_PEER_SETTINGS_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <asio/ip/tcp.hpp>

#include "absl/status/statusor.h"

#include "acaciasill/support/time.h"

namespace acaciasill::net {

// The address of a peer's listener.
using peer_address = asio::ip::tcp::endpoint;

// How connections between daemons behave; the same for both sides.
struct peer_settings {
  // The key that all daemons share. Empty only together with allow_unauthenticated.
  std::string peer_key;
  // Whether daemons without a key may talk to each other; a warning is logged.
  bool allow_unauthenticated = false;
  // The longest time from the start of a connection to the end of its handshake.
  support::milliseconds connect_timeout{1000};
  // The longest time that a frame may take from its first byte to its last, and a write without
  // progress.
  support::milliseconds stall_timeout{3000};
  // The time without a sign of a peer that has calls of ours after which it counts as silent; a
  // probe is sent after half of it. Calls that may be repeated are then given up, further ones
  // refused, and the others wait until the connection has been silent for abandon_timeout. 0 for no
  // such look.
  support::milliseconds silence_timeout{0};
  support::milliseconds abandon_timeout{2500};
  // The time without a call after which an outgoing connection is closed.
  support::milliseconds idle_timeout{30000};
  // Bounds of the pause after a failed connection; the pause doubles and is jittered.
  support::milliseconds min_backoff{20};
  support::milliseconds max_backoff{2000};
  // Bytes that may wait to be written to one connection.
  std::size_t max_backlog_bytes = std::size_t{16} * 1024 * 1024;
  // Calls that one connection carries at once.
  std::size_t max_calls = 10000;
  // Outgoing connections to one peer for each I/O context.
  std::size_t links_per_peer = 1;
  // Outgoing links of a pool in all.
  std::size_t max_links = 4096;
  // Connections that a listener holds at once.
  std::size_t max_connections = 4096;
};

// Whether the settings are usable: peer_not_authenticated where there is neither a key nor the
// explicit permission to go without, out_of_range where a bound is nought.
absl::Status check_settings(const peer_settings& settings);

// Reads "127.0.0.1:7001" or "[::1]:7001"; out_of_range for anything else.
absl::StatusOr<peer_address> parse_peer_address(std::string_view text);

} // namespace acaciasill::net

#endif

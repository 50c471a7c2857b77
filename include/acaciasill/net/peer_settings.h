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

// Address of a peer's listener.
using peer_address = asio::ip::tcp::endpoint;

// Settings of connections between daemons, for the connecting and the accepting side.
struct peer_settings {
  // Shared key of all daemons. May be empty only if allow_unauthenticated is set.
  std::string peer_key;
  // Whether connections without a key are allowed; a warning is logged if no key is set.
  bool allow_unauthenticated = false;
  // Limit on the time from the start of a connection attempt to the end of the handshake.
  support::milliseconds connect_timeout{1000};
  // Limit on the time from the first to the last byte of a received frame, and on the time a write
  // makes no progress.
  support::milliseconds stall_timeout{3000};
  // Time without a frame from a peer with calls in flight after which the peer counts as silent; a
  // probe is sent after half of it. Idempotent calls then end as unknown with peer_stalled and new
  // calls are refused. Other calls wait until the connection has been silent for abandon_timeout. 0
  // disables the check.
  support::milliseconds silence_timeout{0};
  support::milliseconds abandon_timeout{2500};
  // Time without a call after which an outgoing connection is closed.
  support::milliseconds idle_timeout{30000};
  // Bounds of the delay after a failed connection; the delay doubles and is jittered.
  support::milliseconds min_backoff{20};
  support::milliseconds max_backoff{2000};
  // Limit on the unwritten bytes of one connection.
  std::size_t max_backlog_bytes = std::size_t{16} * 1024 * 1024;
  // Limit on the calls in flight on one connection.
  std::size_t max_calls = 10000;
  // Outgoing connections to one peer per I/O context.
  std::size_t links_per_peer = 1;
  // Limit on the outgoing links of a pool.
  std::size_t max_links = 4096;
  // Limit on the open connections of a listener.
  std::size_t max_connections = 4096;
};

// Validates the settings. Fails with peer_not_authenticated if peer_key is empty and
// allow_unauthenticated is not set, and with out_of_range for an invalid limit or time.
absl::Status check_settings(const peer_settings& settings);

// Parses an address such as "127.0.0.1:7001" or "[::1]:7001". Fails with out_of_range.
absl::StatusOr<peer_address> parse_peer_address(std::string_view text);

} // namespace acaciasill::net

#endif

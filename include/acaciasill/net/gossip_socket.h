#ifndef ACACIASILL_NET_GOSSIP_SOCKET_H
#define ACACIASILL_NET_GOSSIP_SOCKET_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include "absl/status/statusor.h"

#include "acaciasill/control/messages.h"
#include "acaciasill/net/peer_settings.h"

namespace acaciasill::net {

// Counters of a gossip socket, for metrics; each may be read from any thread.
struct gossip_counters {
  std::atomic<std::uint64_t> sent{0};
  std::atomic<std::uint64_t> sent_bytes{0};
  std::atomic<std::uint64_t> not_sent{0};
  std::atomic<std::uint64_t> received{0};
  std::atomic<std::uint64_t> received_bytes{0};
  // Dropped for their reason.
  std::atomic<std::uint64_t> not_authenticated{0};
  std::atomic<std::uint64_t> corrupt{0};
  std::atomic<std::uint64_t> too_large{0};
  std::atomic<std::uint64_t> replayed{0};
};

// Receives a datagram that passed all checks, on the socket's executor, with the "ip:port" text of
// the address that it came from.
using datagram_handler = std::function<void(const std::string&, control::datagram)>;

// A UDP socket for the control part's datagrams: small, authenticated, taken at most once, and lost
// without notice like any datagram.
class gossip_socket {
public:
  // Binds the address, which is a single "ip:port" since the tags cover it, and starts to receive;
  // port_in_use where it cannot be bound, peer_not_authenticated or out_of_range for the settings.
  // With port 0 the system chooses one.
  static absl::StatusOr<std::shared_ptr<gossip_socket>> open(asio::io_context& context,
                                                             const asio::ip::udp::endpoint& address,
                                                             const peer_settings& settings,
                                                             datagram_handler handler);
  gossip_socket(const gossip_socket&) = delete;
  gossip_socket& operator=(const gossip_socket&) = delete;
  virtual ~gossip_socket() = default;

  // Sends to an "ip:port" text; a datagram that cannot be sent is counted and dropped. May be
  // called from any thread.
  virtual void send(const std::string& to, const control::datagram& message) = 0;

  // Ends the receiving; no handler runs after it on the socket's own thread.
  virtual void stop() = 0;

  // The address that was bound.
  virtual std::string address() const = 0;

  virtual const gossip_counters& counters() const = 0;

protected:
  gossip_socket() = default;
};

// Reads "127.0.0.1:7002" or "[::1]:7002"; out_of_range for anything else.
absl::StatusOr<asio::ip::udp::endpoint> parse_gossip_address(std::string_view text);

// The text that parse_gossip_address reads back.
std::string format_gossip_address(const asio::ip::udp::endpoint& address);

} // namespace acaciasill::net

#endif

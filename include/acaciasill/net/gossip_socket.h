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

// Metrics of a gossip socket. Each counter may be read from any thread.
struct gossip_counters {
  std::atomic<std::uint64_t> sent{0};
  std::atomic<std::uint64_t> sent_bytes{0};
  std::atomic<std::uint64_t> not_sent{0};
  std::atomic<std::uint64_t> received{0};
  std::atomic<std::uint64_t> received_bytes{0};
  // Received datagrams that were dropped, by reason.
  std::atomic<std::uint64_t> not_authenticated{0};
  std::atomic<std::uint64_t> corrupt{0};
  std::atomic<std::uint64_t> too_large{0};
  std::atomic<std::uint64_t> replayed{0};
};

// Callback for datagrams that passed all checks, with the sender's address as "ip:port". Runs on
// the socket's executor.
using datagram_handler = std::function<void(const std::string&, control::datagram)>;

// UDP socket for membership and configuration datagrams. Datagrams are authenticated and delivered
// at most once; delivery is not guaranteed and losses are not reported.
class gossip_socket {
public:
  // Binds the address and starts to receive. The address must be specified, because the
  // authentication tags cover it; with port 0 the system chooses a port. Fails with port_in_use if
  // the address cannot be bound, out_of_range for an unspecified address, and the errors of
  // check_settings.
  static absl::StatusOr<std::shared_ptr<gossip_socket>> open(asio::io_context& context,
                                                             const asio::ip::udp::endpoint& address,
                                                             const peer_settings& settings,
                                                             datagram_handler handler);
  gossip_socket(const gossip_socket&) = delete;
  gossip_socket& operator=(const gossip_socket&) = delete;
  virtual ~gossip_socket() = default;

  // Sends a datagram to an "ip:port" address. A datagram that cannot be sent is dropped and counted
  // in not_sent. May be called from any thread.
  virtual void send(const std::string& to, const control::datagram& message) = 0;

  // Closes the socket. If called on the socket's own thread, no handler runs afterwards.
  virtual void stop() = 0;

  // Bound address as "ip:port".
  virtual std::string address() const = 0;

  virtual const gossip_counters& counters() const = 0;

protected:
  gossip_socket() = default;
};

// Parses an address such as "127.0.0.1:7002" or "[::1]:7002". Fails with out_of_range.
absl::StatusOr<asio::ip::udp::endpoint> parse_gossip_address(std::string_view text);

// Formats an address as parse_gossip_address accepts it.
std::string format_gossip_address(const asio::ip::udp::endpoint& address);

} // namespace acaciasill::net

#endif

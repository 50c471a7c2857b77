#ifndef ACACIASILL_WIRE_DATAGRAM_ENVELOPE_H
#define ACACIASILL_WIRE_DATAGRAM_ENVELOPE_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "absl/status/statusor.h"

#include "acaciasill/control/messages.h"

// What goes round a datagram's bytes: the sender's epoch, a sequence number, and a tag under the
// shared key that also covers both addresses. See docs/design/authentication.md.
namespace acaciasill::wire {

// Bytes of a datagram's tag, which is HMAC-SHA-256 cut to 128 bits.
inline constexpr std::size_t datagram_tag_bytes = 16;

// Bytes of an envelope: epoch, sequence and tag.
inline constexpr std::size_t envelope_bytes = 2 * sizeof(std::uint64_t) + datagram_tag_bytes;

// The largest packet. It is what IPv6 carries without fragments on its smallest network.
inline constexpr std::size_t max_packet_bytes = control::max_datagram_bytes + envelope_bytes;

// Who sends to whom, as "ip:port" texts.
struct packet_route {
  std::string source;
  std::string destination;
};

// A packet whose tag was checked.
struct opened_packet {
  // Random bits chosen at each start of the sender's process.
  std::uint64_t epoch = 0;
  // Rises by one with each packet of the epoch, from 1.
  std::uint64_t sequence = 0;
  // Refers to the packet's bytes.
  std::string_view payload;
};

// Wraps a payload. With an empty key the tag is nought.
std::string seal_packet(std::string_view key, const packet_route& route, std::uint64_t epoch,
                        std::uint64_t sequence, std::string_view payload);

// Checks and unwraps a packet: frame_corrupt where it is too short, frame_too_large where it is too
// long, peer_not_authenticated where its tag does not match.
absl::StatusOr<opened_packet> open_packet(std::string_view key, const packet_route& route,
                                          std::string_view packet);

// Remembers which packets have come, so that none is taken twice. Each sender's last few epochs
// have a window of their own, since a packet of an earlier life must not displace the present one.
class replay_guard {
public:
  // Whether this packet of the sender is new; if so, it is remembered.
  bool accept(const std::string& sender, std::uint64_t epoch, std::uint64_t sequence);

  // Senders that are remembered.
  std::size_t size() const { return senders_.size(); }

  // The largest number of senders; beyond it all are forgotten.
  static constexpr std::size_t max_senders = 32768;

  // Sequence numbers below the highest one that may still come.
  static constexpr std::uint64_t window = 64;

private:
  struct epoch_window {
    std::uint64_t epoch = 0;
    std::uint64_t highest = 0;
    // Bit n says that the packet highest - n has come.
    std::uint64_t seen = 0;
  };
  struct sender_windows {
    std::array<epoch_window, 3> epochs;
    std::size_t next = 0;
  };

  std::unordered_map<std::string, sender_windows> senders_;
};

} // namespace acaciasill::wire

#endif

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

// Envelope of a datagram: the sender's epoch, a sequence number, and an authentication tag under
// the shared key that also covers both addresses. See docs/design/authentication.md.
namespace acaciasill::wire {

// Size of a datagram's tag, HMAC-SHA-256 truncated to 128 bits, in bytes.
inline constexpr std::size_t datagram_tag_bytes = 16;

// Size of an envelope (epoch, sequence and tag), in bytes.
inline constexpr std::size_t envelope_bytes = 2 * sizeof(std::uint64_t) + datagram_tag_bytes;

// Limit on a packet, in bytes. It fits the minimum IPv6 MTU without fragmentation.
inline constexpr std::size_t max_packet_bytes = control::max_datagram_bytes + envelope_bytes;

// Source and destination address of a packet, as "ip:port".
struct packet_route {
  std::string source;
  std::string destination;
};

// Packet whose tag has been verified.
struct opened_packet {
  // Random number chosen at each start of the sender's process.
  std::uint64_t epoch = 0;
  // Number of the packet within the epoch, counted from 1.
  std::uint64_t sequence = 0;
  // View into the packet's bytes.
  std::string_view payload;
};

// Wraps a payload in an envelope. With an empty key, all bytes of the tag are 0.
std::string seal_packet(std::string_view key, const packet_route& route, std::uint64_t epoch,
                        std::uint64_t sequence, std::string_view payload);

// Verifies a packet and returns its contents. Fails with frame_corrupt if it is shorter than an
// envelope, frame_too_large if it is too long, and peer_not_authenticated if its tag does not
// match.
absl::StatusOr<opened_packet> open_packet(std::string_view key, const packet_route& route,
                                          std::string_view packet);

// Rejects replayed packets with a sliding window per sender and epoch. The last three epochs of a
// sender each keep a window, because a packet from an earlier process of the sender must not reset
// the window of the current one.
class replay_filter {
public:
  // Returns whether the packet is new, and records it if so. Sequence number 0 is rejected.
  bool accept(const std::string& sender, std::uint64_t epoch, std::uint64_t sequence);

  // Number of tracked senders.
  std::size_t size() const { return windows_by_sender_.size(); }

  // Limit on the number of tracked senders; a new sender beyond it clears all of them.
  static constexpr std::size_t max_senders = 32768;

  // Width of the window in sequence numbers, ending at the highest received number.
  static constexpr std::uint64_t window = 64;

private:
  struct epoch_window {
    std::uint64_t epoch = 0;
    std::uint64_t highest = 0;
    // Bit n is set if the packet with sequence number highest - n was received.
    std::uint64_t received_mask = 0;
  };
  struct sender_windows {
    std::array<epoch_window, 3> epochs;
    std::size_t next_slot = 0;
  };

  std::unordered_map<std::string, sender_windows> windows_by_sender_;
};

} // namespace acaciasill::wire

#endif

#include "acaciasill/wire/datagram_envelope.h"

#include <algorithm>

#include "acaciasill/support/hash.h"
#include "acaciasill/support/result_code.h"

namespace acaciasill::wire {
namespace {

using support::make_error;
using support::result_code;

constexpr std::string_view datagram_label = "acaciasill datagram 1";

void append_uint64(std::string& packet, std::uint64_t number) {
  for (std::size_t index = 0; index < sizeof(number); ++index) {
    packet.push_back(static_cast<char>(number >> 8U * index & 0xffU));
  }
}

std::uint64_t read_uint64(std::string_view packet, std::size_t offset) {
  std::uint64_t number = 0;
  for (std::size_t index = sizeof(number); index-- > 0;) {
    number = number << 8U | static_cast<unsigned char>(packet[offset + index]);
  }
  return number;
}

// Addresses contain no line feed, so the encoding of the tag's input is unambiguous.
std::string compute_tag(std::string_view key, const packet_route& route, std::string_view header,
                        std::string_view payload) {
  if (key.empty()) {
    return std::string(datagram_tag_bytes, '\0');
  }
  std::string input(datagram_label);
  input.append("\n").append(route.source).append("\n").append(route.destination).append("\n");
  input.append(header).append(payload);
  return support::hmac_sha256(key, input).substr(0, datagram_tag_bytes);
}

} // namespace

std::string seal_packet(std::string_view key, const packet_route& route, std::uint64_t epoch,
                        std::uint64_t sequence, std::string_view payload) {
  std::string packet;
  packet.reserve(envelope_bytes + payload.size());
  append_uint64(packet, epoch);
  append_uint64(packet, sequence);
  packet.append(compute_tag(key, route, packet, payload));
  packet.append(payload);
  return packet;
}

absl::StatusOr<opened_packet> open_packet(std::string_view key, const packet_route& route,
                                          std::string_view packet) {
  if (packet.size() > max_packet_bytes) {
    return make_error(result_code::frame_too_large);
  }
  if (packet.size() < envelope_bytes) {
    return make_error(result_code::frame_corrupt, "packet shorter than its envelope");
  }
  constexpr std::size_t header_bytes = envelope_bytes - datagram_tag_bytes;
  const auto header = packet.substr(0, header_bytes);
  const auto tag = packet.substr(header_bytes, datagram_tag_bytes);
  const auto payload = packet.substr(envelope_bytes);
  if (!support::constant_time_equal(compute_tag(key, route, header, payload), tag)) {
    return make_error(result_code::peer_not_authenticated);
  }
  return opened_packet{read_uint64(packet, 0), read_uint64(packet, sizeof(std::uint64_t)), payload};
}

bool replay_filter::accept(const std::string& sender, std::uint64_t epoch, std::uint64_t sequence) {
  if (sequence == 0) {
    return false;
  }
  if (windows_by_sender_.size() >= max_senders && !windows_by_sender_.contains(sender)) {
    windows_by_sender_.clear();
  }
  auto& [epochs, next_slot] = windows_by_sender_[sender];
  const auto is_epoch = [epoch](const epoch_window& entry) {
    return entry.epoch == epoch && entry.highest != 0;
  };
  auto entry = std::find_if(epochs.begin(), epochs.end(), is_epoch);
  if (entry == epochs.end()) {
    entry = epochs.begin() + static_cast<std::ptrdiff_t>(next_slot++ % epochs.size());
    *entry = {.epoch = epoch, .highest = sequence, .received_mask = 1};
    return true;
  }
  if (sequence > entry->highest) {
    const std::uint64_t shift = sequence - entry->highest;
    entry->received_mask = shift < window ? entry->received_mask << shift | 1U : 1U;
    entry->highest = sequence;
    return true;
  }
  const std::uint64_t age = entry->highest - sequence;
  if (age >= window || (entry->received_mask >> age & 1U) != 0) {
    return false;
  }
  entry->received_mask |= std::uint64_t{1} << age;
  return true;
}

} // namespace acaciasill::wire

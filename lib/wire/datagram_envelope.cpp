#include "acaciasill/wire/datagram_envelope.h"

#include <algorithm>

#include "acaciasill/support/hash.h"
#include "acaciasill/support/result_code.h"

namespace acaciasill::wire {
namespace {

using support::make_error;
using support::result_code;

constexpr std::string_view datagram_label = "acaciasill datagram 1";

void put_number(std::string& packet, std::uint64_t number) {
  for (std::size_t index = 0; index < sizeof(number); ++index) {
    packet.push_back(static_cast<char>(number >> 8U * index & 0xffU));
  }
}

std::uint64_t number_at(std::string_view packet, std::size_t place) {
  std::uint64_t number = 0;
  for (std::size_t index = sizeof(number); index-- > 0;) {
    number = number << 8U | static_cast<unsigned char>(packet[place + index]);
  }
  return number;
}

// The addresses hold no line feed, so that the parts cannot be shifted against each other.
std::string tag_of(std::string_view key, const packet_route& route, std::string_view numbers,
                   std::string_view payload) {
  if (key.empty()) {
    return std::string(datagram_tag_bytes, '\0');
  }
  std::string text(datagram_label);
  text.append("\n").append(route.source).append("\n").append(route.destination).append("\n");
  text.append(numbers).append(payload);
  return support::hmac_sha256(key, text).substr(0, datagram_tag_bytes);
}

} // namespace

std::string seal_packet(std::string_view key, const packet_route& route, std::uint64_t epoch,
                        std::uint64_t sequence, std::string_view payload) {
  std::string packet;
  packet.reserve(envelope_bytes + payload.size());
  put_number(packet, epoch);
  put_number(packet, sequence);
  packet.append(tag_of(key, route, packet, payload));
  packet.append(payload);
  return packet;
}

absl::StatusOr<opened_packet> open_packet(std::string_view key, const packet_route& route,
                                          std::string_view packet) {
  if (packet.size() > max_packet_bytes) {
    return make_error(result_code::frame_too_large);
  }
  if (packet.size() < envelope_bytes) {
    return make_error(result_code::frame_corrupt, "a packet without an envelope");
  }
  constexpr std::size_t numbers_bytes = envelope_bytes - datagram_tag_bytes;
  const auto numbers = packet.substr(0, numbers_bytes);
  const auto tag = packet.substr(numbers_bytes, datagram_tag_bytes);
  const auto payload = packet.substr(envelope_bytes);
  if (!support::constant_time_equal(tag_of(key, route, numbers, payload), tag)) {
    return make_error(result_code::peer_not_authenticated);
  }
  return opened_packet{number_at(packet, 0), number_at(packet, sizeof(std::uint64_t)), payload};
}

bool replay_guard::accept(const std::string& sender, std::uint64_t epoch, std::uint64_t sequence) {
  if (sequence == 0) {
    return false;
  }
  if (senders_.size() >= max_senders && !senders_.contains(sender)) {
    senders_.clear();
  }
  auto& [epochs, next] = senders_[sender];
  const auto is_epoch = [epoch](const epoch_window& known) {
    return known.epoch == epoch && known.highest != 0;
  };
  auto known = std::find_if(epochs.begin(), epochs.end(), is_epoch);
  if (known == epochs.end()) {
    known = epochs.begin() + static_cast<std::ptrdiff_t>(next++ % epochs.size());
    *known = {.epoch = epoch, .highest = sequence, .seen = 1};
    return true;
  }
  if (sequence > known->highest) {
    const std::uint64_t shift = sequence - known->highest;
    known->seen = shift < window ? known->seen << shift | 1U : 1U;
    known->highest = sequence;
    return true;
  }
  const std::uint64_t age = known->highest - sequence;
  if (age >= window || (known->seen >> age & 1U) != 0) {
    return false;
  }
  known->seen |= std::uint64_t{1} << age;
  return true;
}

} // namespace acaciasill::wire

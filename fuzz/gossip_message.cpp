// Decodes the input as a datagram, with and without an envelope. An accepted datagram must be
// within the limits, and encoding and decoding it again must yield the same value.

#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "acaciasill/wire/datagram_codec.h"
#include "acaciasill/wire/datagram_envelope.h"

using namespace acaciasill;

namespace {

// Aborts, which libFuzzer reports as a crash, if the condition is false.
void require(bool condition) {
  if (!condition) {
    std::abort();
  }
}

void check_datagram(std::string_view bytes) {
  const auto decoded = wire::decode_datagram(bytes);
  if (!decoded.ok()) {
    return;
  }
  require(decoded->updates.size() <= control::max_updates);
  require(decoded->marks.size() <= control::max_scopes);
  const auto encoded = wire::encode_datagram(*decoded);
  // A FlatBuffers input may share subtables; the encoder writes them separately, so that the result
  // can exceed the datagram limit.
  if (encoded.size() > control::max_datagram_bytes) {
    return;
  }
  const auto round_trip = wire::decode_datagram(encoded);
  require(round_trip.ok());
  require(*round_trip == *decoded);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  check_datagram(bytes);
  if (const auto packet = wire::open_packet("", {"a", "b"}, bytes); packet.ok()) {
    check_datagram(packet->payload);
  }
  return 0;
}

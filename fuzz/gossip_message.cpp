// Decodes bytes as a datagram, with and without an envelope. One that is accepted must be within
// its limits and must decode to the same value once encoded again.

#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "acaciasill/wire/datagram_codec.h"
#include "acaciasill/wire/datagram_envelope.h"

using namespace acaciasill;

namespace {

// Ends the run where something does not hold.
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
  // Tables that share their parts may grow when they are encoded apart.
  if (encoded.size() > control::max_datagram_bytes) {
    return;
  }
  const auto again = wire::decode_datagram(encoded);
  require(again.ok());
  require(*again == *decoded);
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

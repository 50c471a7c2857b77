// Feeds the input to the frame reader in pieces and decodes each frame that it returns. An accepted
// frame must be within the limits, and encoding and decoding it again must yield the same value.

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "acaciasill/wire/codec.h"
#include "acaciasill/wire/frame_reader.h"

namespace {

using namespace acaciasill;

// Aborts, which libFuzzer reports as a crash, if the condition is false.
void require(bool condition) {
  if (!condition) {
    std::abort();
  }
}

void check_frame(std::string_view bytes) {
  const auto decoded = wire::decode_frame(bytes);
  if (!decoded.ok()) {
    return;
  }
  std::visit(
      [](const auto& message) {
        if constexpr (requires { wire::check_limits(message); }) {
          require(wire::check_limits(message).ok());
        }
        const auto round_trip = wire::decode_frame(wire::encode(message));
        require(round_trip.ok());
        require(std::get<std::decay_t<decltype(message)>>(*round_trip) == message);
      },
      *decoded);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string_view bytes(reinterpret_cast<const char*>(data), size);
  check_frame(bytes);
  wire::frame_reader reader;
  std::size_t piece_bytes = size / 3 + 1;
  while (!bytes.empty()) {
    const auto space = reader.prepare();
    const auto count = std::min({piece_bytes, space.size(), bytes.size()});
    std::copy_n(bytes.data(), count, space.data());
    reader.commit(count);
    bytes.remove_prefix(count);
    auto frame = reader.next();
    for (; frame.ok() && *frame; frame = reader.next()) {
      check_frame(**frame);
    }
    if (!frame.ok()) {
      break;
    }
  }
  return 0;
}

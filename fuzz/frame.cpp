// Feeds bytes to the frame reader in two pieces and decodes each frame that comes out. A frame that
// is accepted must be within its limits and must decode to the same value once encoded again.

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "acaciasill/wire/codec.h"
#include "acaciasill/wire/frame_reader.h"

namespace {

using namespace acaciasill;

// Ends the run where something does not hold.
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
        const auto again = wire::decode_frame(wire::encode(message));
        require(again.ok());
        require(std::get<std::decay_t<decltype(message)>>(*again) == message);
      },
      *decoded);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string_view bytes(reinterpret_cast<const char*>(data), size);
  check_frame(bytes);
  wire::frame_reader reader;
  std::size_t piece = size / 3 + 1;
  while (!bytes.empty()) {
    const auto space = reader.prepare();
    const auto count = std::min({piece, space.size(), bytes.size()});
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

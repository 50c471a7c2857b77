// Decodes every seed and every finding of the fuzzers with the current code. The sanitizer builds
// run this test as well.

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "acaciasill/wire/codec.h"
#include "acaciasill/wire/datagram_codec.h"

namespace {

using namespace acaciasill;

std::vector<std::string> read_corpus(const std::string& target) {
  std::vector<std::string> inputs;
  const auto folder = std::filesystem::path(ACS_SOURCE_DIR) / "fuzz" / "corpus" / target;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    std::ifstream file(entry.path(), std::ios::binary);
    inputs.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
  }
  REQUIRE_FALSE(inputs.empty());
  return inputs;
}

} // namespace

TEST_CASE("decoded frames of the corpus can be encoded again", "[wire]") {
  for (const auto& input : read_corpus("frame")) {
    if (const auto frame = wire::decode_frame(input); frame.ok()) {
      const auto bytes =
          std::visit([](const auto& message) { return wire::encode(message); }, *frame);
      CHECK(wire::decode_frame(bytes).ok());
    }
  }
}

TEST_CASE("decoded datagrams of the corpus survive an encoding round trip", "[wire]") {
  for (const auto& input : read_corpus("gossip_message")) {
    if (const auto message = wire::decode_datagram(input); message.ok()) {
      const auto again = wire::decode_datagram(wire::encode_datagram(*message));
      REQUIRE(again.ok());
      CHECK(*again == *message);
    }
  }
}

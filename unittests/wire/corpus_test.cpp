// Every seed and every finding of the fuzzers, read by the code as it is now. The sanitizers'
// builds run this as well.

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

std::vector<std::string> inputs_of(const std::string& target) {
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

TEST_CASE("frames of the corpus are decoded to what can be encoded again", "[wire]") {
  for (const auto& input : inputs_of("frame")) {
    if (const auto frame = wire::decode_frame(input); frame.ok()) {
      const auto bytes = std::visit([](const auto& each) { return wire::encode(each); }, *frame);
      CHECK(wire::decode_frame(bytes).ok());
    }
  }
}

TEST_CASE("datagrams of the corpus are decoded to what can be encoded again", "[wire]") {
  for (const auto& input : inputs_of("gossip_message")) {
    if (const auto message = wire::decode_datagram(input); message.ok()) {
      const auto again = wire::decode_datagram(wire::encode_datagram(*message));
      REQUIRE(again.ok());
      CHECK(*again == *message);
    }
  }
}

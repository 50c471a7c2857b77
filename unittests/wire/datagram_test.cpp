#include "acaciasill/wire/datagram_codec.h"

#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "acaciasill/support/result_code.h"
#include "acaciasill/wire/datagram_envelope.h"

namespace {

using namespace acaciasill;
using support::result_code;

std::string arbitrary_name(const char* part) {
  return std::string(part) + std::to_string(*rc::gen::inRange(0, 1000));
}

control::member arbitrary_member() {
  control::member record;
  record.gossip_address = "127.0.0.1:" + arbitrary_name("");
  record.call_address = *rc::gen::element(std::string(), std::string("127.0.0.1:17001"));
  record.name = arbitrary_name("instance-");
  record.data_centre = arbitrary_name("dc-");
  record.service = *rc::gen::element(std::string(), std::string("pricing"));
  record.incarnation = *rc::gen::arbitrary<std::uint64_t>();
  record.start_nonce = *rc::gen::arbitrary<std::uint64_t>();
  record.state = static_cast<control::member_state>(*rc::gen::inRange(0, 4));
  record.draining = *rc::gen::arbitrary<bool>();
  record.slots = *rc::gen::inRange<std::uint32_t>(0, 3);
  record.connections = *rc::gen::arbitrary<std::uint32_t>();
  record.age_ms = *rc::gen::inRange<std::uint32_t>(0, 3);
  return record;
}

control::message_body arbitrary_body() {
  const std::string digest(64, 'd');
  const auto number = *rc::gen::arbitrary<std::uint32_t>();
  const std::vector<control::scope_digest> scopes(*rc::gen::inRange<std::size_t>(0, 12),
                                                  {"dc-1", number, number});
  const std::vector<std::uint64_t> buckets(*rc::gen::inRange<std::size_t>(0, 33), number);
  const std::string bytes(*rc::gen::inRange<std::size_t>(0, 800), '\0');
  return *rc::gen::elementOf(std::vector<control::message_body>{
      control::gossip{}, control::probe{number}, control::probe_ack{number},
      control::indirect_probe{number, "127.0.0.1:7002"}, control::sync_digest{"dc-1", scopes},
      control::bucket_digests{"dc-1", buckets}, control::sync_records{"dc-1", number, true},
      control::page_request{"127.0.0.1:7002"}, control::page_request{},
      control::page{"127.0.0.1:7002"}, control::configuration_query{},
      control::configuration_offer{number, digest}, control::chunk_request{digest, "", number},
      control::chunk{digest, digest, 1, 2, number, 4, bytes}});
}

control::datagram arbitrary_datagram() {
  control::datagram message;
  message.sender_incarnation = *rc::gen::arbitrary<std::uint64_t>();
  message.sender_nonce = *rc::gen::arbitrary<std::uint64_t>();
  message.configuration_generation = *rc::gen::inRange<std::uint64_t>(0, 3);
  message.body = arbitrary_body();
  for (auto count = *rc::gen::inRange(0, 4); count > 0; --count) {
    message.marks.push_back({arbitrary_name("dc-"), *rc::gen::arbitrary<std::uint64_t>(), true});
  }
  for (auto record = arbitrary_member();
       control::encoded_bound(message) + control::encoded_bound(record) <=
       control::max_datagram_bytes;
       record = arbitrary_member()) {
    message.updates.push_back(record);
  }
  return message;
}

} // namespace

TEST_CASE("every datagram survives a round trip within its encoded size bound", "[wire]") {
  CHECK(rc::check([] {
    const auto message = arbitrary_datagram();
    const auto bytes = wire::encode_datagram(message);
    RC_ASSERT(bytes.size() <= control::encoded_bound(message));
    const auto decoded = wire::decode_datagram(bytes);
    RC_ASSERT(decoded.ok());
    RC_ASSERT(*decoded == message);
  }));
}

TEST_CASE("a truncated or altered datagram is decoded or rejected safely", "[wire]") {
  CHECK(rc::check([] {
    auto bytes = wire::encode_datagram(arbitrary_datagram());
    bytes.resize(*rc::gen::inRange<std::size_t>(1, bytes.size() + 1));
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
        static_cast<char>(*rc::gen::arbitrary<unsigned char>());
    const auto decoded = wire::decode_datagram(bytes);
    RC_ASSERT(decoded.ok() || support::code_of(decoded.status()) == result_code::frame_corrupt ||
              support::code_of(decoded.status()) == result_code::frame_too_large);
  }));
}

TEST_CASE("fields over their limits are rejected", "[wire]") {
  const auto refused = [](const control::datagram& message) {
    const auto decoded = wire::decode_datagram(wire::encode_datagram(message));
    return support::code_of(decoded.status()) == result_code::frame_too_large;
  };
  control::datagram message;
  SECTION("text") {
    message.body = control::page{std::string(control::max_name_bytes + 1, 'a')};
    CHECK(refused(message));
  }
  SECTION("buckets") {
    message.body =
        control::bucket_digests{"dc", std::vector<std::uint64_t>(control::max_buckets + 1)};
    CHECK(refused(message));
  }
  SECTION("bytes") {
    message.body =
        control::chunk{"d", "", 0, 0, 0, 0, std::string(control::max_chunk_bytes + 1, 'b')};
    CHECK(refused(message));
  }
  SECTION("marks") {
    message.marks.resize(control::max_scopes + 1);
    CHECK(refused(message));
  }
  SECTION("unknown state") {
    message.updates.resize(1);
    message.updates[0].state = static_cast<control::member_state>(4);
    const auto decoded = wire::decode_datagram(wire::encode_datagram(message));
    CHECK(support::code_of(decoded.status()) == result_code::frame_corrupt);
  }
  SECTION("whole datagram") {
    CHECK(support::code_of(
              wire::decode_datagram(std::string(control::max_datagram_bytes + 1, 'a')).status()) ==
          result_code::frame_too_large);
  }
}

TEST_CASE("a tag covers the key, addresses, epoch, sequence number and payload", "[wire]") {
  const wire::packet_route route{"127.0.0.1:1", "127.0.0.1:2"};
  const auto packet = wire::seal_packet("key", route, 7, 9, "payload");
  const auto opened = wire::open_packet("key", route, packet);
  REQUIRE(opened.ok());
  CHECK(opened->epoch == 7);
  CHECK(opened->sequence == 9);
  CHECK(opened->payload == "payload");
  const auto code = [](std::string_view key, const wire::packet_route& packet_addresses,
                       std::string_view bytes) {
    return support::code_of(wire::open_packet(key, packet_addresses, bytes).status());
  };
  CHECK(code("yek", route, packet) == result_code::peer_not_authenticated);
  CHECK(code("", route, packet) == result_code::peer_not_authenticated);
  CHECK(code("key", {"127.0.0.1:3", "127.0.0.1:2"}, packet) == result_code::peer_not_authenticated);
  CHECK(code("key", {"127.0.0.1:1", "127.0.0.1:3"}, packet) == result_code::peer_not_authenticated);
  for (std::size_t offset = 0; offset < packet.size(); ++offset) {
    auto changed = packet;
    changed[offset] = static_cast<char>(changed[offset] ^ 1);
    CHECK(code("key", route, changed) == result_code::peer_not_authenticated);
  }
  CHECK(code("key", route, packet.substr(0, wire::envelope_bytes - 1)) ==
        result_code::frame_corrupt);
  CHECK(code("key", route, std::string(wire::max_packet_bytes + 1, 'a')) ==
        result_code::frame_too_large);
  CHECK(wire::open_packet("", route, wire::seal_packet("", route, 1, 1, "open")).ok());
}

TEST_CASE("no packet is accepted twice, in any order of arrival", "[wire]") {
  CHECK(rc::check([] {
    wire::replay_filter filter;
    std::vector<std::uint64_t> accepted;
    const auto order =
        *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 200));
    for (const auto sequence : order) {
      const bool is_new = std::find(accepted.begin(), accepted.end(), sequence) == accepted.end();
      const bool is_accepted = filter.accept("a", 1, sequence);
      RC_ASSERT(is_new || !is_accepted);
      if (is_accepted) {
        accepted.push_back(sequence);
      }
    }
  }));
}

TEST_CASE("late packets within the window are accepted, and epochs keep separate windows",
          "[wire]") {
  wire::replay_filter filter;
  CHECK(filter.accept("a", 1, 100));
  CHECK(filter.accept("a", 1, 100 - wire::replay_filter::window + 1));
  CHECK_FALSE(filter.accept("a", 1, 100 - wire::replay_filter::window));
  CHECK(filter.accept("a", 2, 1));
  CHECK(filter.accept("a", 1, 101));
  CHECK(filter.accept("a", 2, 2));
  CHECK_FALSE(filter.accept("a", 2, 2));
  CHECK(filter.accept("b", 2, 2));
  CHECK_FALSE(filter.accept("b", 2, 0));
}

TEST_CASE("the number of tracked senders is limited", "[wire]") {
  wire::replay_filter filter;
  for (std::size_t index = 0; index <= wire::replay_filter::max_senders; ++index) {
    filter.accept(std::to_string(index), 1, 1);
  }
  CHECK(filter.size() <= wire::replay_filter::max_senders);
}

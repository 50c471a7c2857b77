#include "acaciasill/wire/codec.h"

#include <limits>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "acaciasill/support/result_code.h"

namespace {

using namespace acaciasill;
using support::result_code;

wire::call_request full_request() {
  wire::call_request request;
  request.correlation = 7;
  request.id = {.high = 1, .low = 2};
  request.service = "pricing";
  request.organisation = "kwaeso";
  request.method = "POST";
  request.target = "/quotes?model=1";
  request.headers = {{"content-type", "text/plain"}, {"x-empty", ""}};
  request.body = std::string("a\0b", 3);
  request.idempotency_key = "key-1";
  request.rank = 3;
  request.holds_finished_work = true;
  request.idempotent = false;
  request.lent_attempts = 4;
  request.depth = 5;
  request.time_left_us = 6;
  request.probe = true;
  request.generation = 9;
  request.kind = 10;
  request.stated_rate = 65.3;
  return request;
}

wire::call_reply full_reply() {
  wire::call_reply reply;
  reply.correlation = 7;
  reply.id = {.high = 1, .low = 2};
  reply.outcome = wire::outcome::not_run;
  reply.code = result_code::shed_at_upstream;
  reply.http_status = 503;
  reply.headers = {{"content-type", "text/plain"}};
  reply.body = "later";
  reply.unused_attempts = 1;
  reply.spent_attempts = 2;
  reply.threshold = 3;
  reply.overloaded_below = true;
  reply.retry_after_ms = 4;
  reply.in_flight = 5;
  reply.queued = 6;
  reply.limit = 7;
  reply.service_time_us = 8;
  reply.generation = 9;
  reply.stated_rate = std::numeric_limits<double>::infinity();
  reply.backend_leaving = true;
  return reply;
}

template <typename Message>
void check_round_trip(const Message& message) {
  const auto decoded = wire::decode_frame(wire::encode(message));
  REQUIRE(decoded.ok());
  CHECK(std::get<Message>(*decoded) == message);
}

result_code decode_error(std::string_view bytes) {
  return support::code_of(wire::decode_frame(bytes).status());
}

} // namespace

TEST_CASE("every message survives an encoding round trip", "[wire]") {
  check_round_trip(full_request());
  check_round_trip(wire::call_request{});
  check_round_trip(full_reply());
  check_round_trip(wire::call_reply{});
  check_round_trip(wire::call_cancel{.correlation = 9, .id = {.high = 3, .low = 4}});
  check_round_trip(wire::hello{.nonce = std::string(wire::nonce_bytes, 'n')});
  check_round_trip(wire::challenge{.nonce = std::string(wire::nonce_bytes, 'n'),
                                   .tag = std::string(wire::tag_bytes, 't')});
  check_round_trip(wire::proof{.tag = std::string(wire::tag_bytes, 't')});
  check_round_trip(wire::proof{});
}

TEST_CASE("a frame is decoded at any alignment", "[wire]") {
  const std::string bytes = wire::encode(full_request());
  for (std::size_t shift = 0; shift < 8; ++shift) {
    const std::string shifted = std::string(shift, 'x') + bytes;
    const auto decoded = wire::decode_frame(std::string_view(shifted).substr(shift));
    REQUIRE(decoded.ok());
    CHECK(std::get<wire::call_request>(*decoded) == full_request());
  }
}

TEST_CASE("a truncated frame is corrupt", "[wire]") {
  const std::string bytes = wire::encode(full_request());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK(decode_error(std::string_view(bytes).substr(0, size)) == result_code::frame_corrupt);
  }
}

TEST_CASE("a frame with altered bytes is decoded or rejected safely", "[wire]") {
  const std::string bytes = wire::encode(full_reply());
  CHECK(rc::check([&bytes] {
    std::string changed = bytes;
    const auto count = *rc::gen::inRange(1, 6);
    for (int iteration = 0; iteration < count; ++iteration) {
      changed[*rc::gen::inRange<std::size_t>(0, changed.size())] =
          static_cast<char>(*rc::gen::arbitrary<unsigned char>());
    }
    const auto decoded = wire::decode_frame(changed);
    RC_ASSERT(decoded.ok() || support::code_of(decoded.status()) == result_code::frame_corrupt ||
              support::code_of(decoded.status()) == result_code::frame_too_large ||
              support::code_of(decoded.status()) == result_code::body_too_large);
  }));
}

TEST_CASE("values over their limits are rejected by sender and receiver", "[wire]") {
  auto request = full_request();
  const auto code_for = [](const wire::call_request& message) {
    const auto code = support::code_of(wire::check_limits(message));
    CHECK(decode_error(wire::encode(message)) == code);
    return code;
  };
  SECTION("number of headers") {
    request.headers.resize(wire::max_headers + 1, {"a", "b"});
    CHECK(support::code_of(wire::check_limits(request)) == result_code::frame_too_large);
    CHECK_FALSE(wire::decode_frame(wire::encode(request)).ok());
  }
  SECTION("size of headers") {
    request.headers = {{"a", std::string(wire::max_header_bytes, 'b')}};
    CHECK(code_for(request) == result_code::frame_too_large);
  }
  SECTION("names") {
    request.service = std::string(wire::max_name_bytes + 1, 'a');
    CHECK(code_for(request) == result_code::frame_too_large);
  }
  SECTION("names of organisations") {
    request.organisation = std::string(wire::max_organisation_bytes + 1, 'a');
    CHECK(code_for(request) == result_code::frame_too_large);
  }
  SECTION("targets") {
    request.target = std::string(wire::max_target_bytes + 1, 'a');
    CHECK(code_for(request) == result_code::frame_too_large);
  }
  SECTION("keys") {
    request.idempotency_key = std::string(wire::max_idempotency_key_bytes + 1, 'a');
    CHECK(code_for(request) == result_code::frame_too_large);
  }
  SECTION("bodies") {
    request.body = std::string(wire::max_body_bytes + 1, 'a');
    CHECK(code_for(request) == result_code::body_too_large);
  }
  SECTION("the largest body passes") {
    request.body = std::string(wire::max_body_bytes, 'a');
    CHECK(wire::check_limits(request).ok());
    check_round_trip(request);
  }
}

TEST_CASE("nonces and tags of the wrong size are corrupt", "[wire]") {
  CHECK(decode_error(wire::encode(wire::hello{.nonce = "short"})) == result_code::frame_corrupt);
  CHECK(decode_error(wire::encode(wire::proof{.tag = "short"})) == result_code::frame_corrupt);
}

TEST_CASE("tags differ by side, key and nonce", "[wire]") {
  const std::string one(wire::nonce_bytes, '1');
  const std::string other(wire::nonce_bytes, '2');
  const auto tag = wire::connecting_tag("key", one, other);
  CHECK(tag.size() == wire::tag_bytes);
  CHECK(wire::tag_matches(tag, wire::connecting_tag("key", one, other)));
  CHECK_FALSE(wire::tag_matches(tag, wire::accepting_tag("key", one, other)));
  CHECK_FALSE(wire::tag_matches(tag, wire::connecting_tag("yek", one, other)));
  CHECK_FALSE(wire::tag_matches(tag, wire::connecting_tag("key", other, one)));
  CHECK_FALSE(wire::tag_matches(tag, ""));
  CHECK(wire::connecting_tag("", one, other).empty());
  CHECK(wire::make_nonce() != wire::make_nonce());
}

#include "acaciasill/net/call_headers.h"

#include <catch2/catch.hpp>

#include "acaciasill/support/result_code.h"
#include "acaciasill/wire/codec.h"

namespace {

using namespace acaciasill;
using fields = std::vector<wire::header_field>;

bool is_rejected(const fields& input) {
  const auto headers = net::parse_call_headers(input);
  return support::code_of(headers.status()) == support::result_code::bad_request;
}

} // namespace

TEST_CASE("formatted header fields parse to the same value", "[net]") {
  net::call_headers headers;
  headers.id = wire::request_id{.high = 0xabcdef, .low = 17};
  headers.organisation = "kwaeso";
  headers.priority = "counter";
  headers.deadline = support::milliseconds(250);
  headers.retry_budget = 3;
  headers.idempotency_key = "reservation 17";
  headers.context = "opaque=1; other";
  const auto parsed = net::parse_call_headers(net::format_call_headers(headers));
  REQUIRE(parsed.ok());
  CHECK(*parsed == headers);
}

TEST_CASE("absent fields stay empty and unknown fields are ignored", "[net]") {
  const auto parsed = net::parse_call_headers({{"Accept", "*/*"}});
  REQUIRE(parsed.ok());
  CHECK(*parsed == net::call_headers{});
}

TEST_CASE("field names are case-insensitive", "[net]") {
  const auto parsed = net::parse_call_headers({{"X-Deadline-MS", "10"}});
  REQUIRE(parsed.ok());
  CHECK(parsed->deadline == support::milliseconds(10));
  CHECK(net::is_call_header("X-Request-Id"));
  CHECK_FALSE(net::is_call_header("accept"));
  CHECK(net::is_connection_header("Transfer-Encoding"));
}

TEST_CASE("malformed fields are rejected", "[net]") {
  CHECK(is_rejected({{"x-deadline-ms", "-1"}}));
  CHECK(is_rejected({{"x-deadline-ms", "1.5"}}));
  CHECK(is_rejected({{"x-deadline-ms", "600001"}}));
  CHECK(is_rejected({{"x-deadline-ms", "99999999999999999999"}}));
  CHECK(is_rejected({{"x-retry-budget", "1001"}}));
  CHECK(is_rejected({{"x-retry-budget", ""}}));
  CHECK(is_rejected({{"x-request-id", "12"}}));
  CHECK(is_rejected({{"x-organisation", ""}}));
  CHECK(is_rejected({{"x-organisation", "a\nb"}}));
  CHECK(is_rejected({{"x-organisation", " a"}}));
  CHECK(is_rejected({{"idempotency-key", std::string(wire::max_idempotency_key_bytes + 1, 'k')}}));
  CHECK(is_rejected({{"x-acaciasill-context", std::string(net::max_context_bytes + 1, 'c')}}));
}

TEST_CASE("a duplicate field is rejected", "[net]") {
  CHECK(is_rejected({{"x-organisation", "a"}, {"X-Organisation", "a"}}));
  CHECK(is_rejected({{"x-retry-budget", "0"}, {"x-retry-budget", "0"}}));
  CHECK(is_rejected(
      {{"x-request-id", std::string(32, '1')}, {"x-request-id", std::string(32, '1')}}));
}

TEST_CASE("too many fields are rejected", "[net]") {
  CHECK(is_rejected(fields(wire::max_headers + 1, {"a", "b"})));
  CHECK(net::parse_call_headers(fields(wire::max_headers, {"a", "b"})).ok());
}

TEST_CASE("request ids parse with and without dashes", "[net]") {
  const wire::request_id id{.high = 0x0123456789abcdef, .low = 0xfedcba9876543210};
  CHECK(net::format_request_id(id) == "0123456789abcdeffedcba9876543210");
  CHECK(net::parse_request_id("0123456789ABCDEFfedcba9876543210") == id);
  CHECK(net::parse_request_id("01234567-89ab-cdef-fedc-ba9876543210") == id);
  CHECK_FALSE(net::parse_request_id("01234567-89ab-cdef-fedc-ba98765432100"));
  CHECK_FALSE(net::parse_request_id("0123456-789ab-cdef-fedc-ba9876543210"));
  CHECK_FALSE(net::parse_request_id("-123456789abcdeffedcba9876543210"));
  CHECK_FALSE(net::parse_request_id(std::string(32, '0')));
  CHECK_FALSE(net::parse_request_id(""));
}

#include "acaciasill/net/platform_protocol.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "acaciasill/support/hash.h"

using namespace acaciasill::control;
using namespace acaciasill::net;
using acaciasill::support::sha256_hex;

namespace {

platform_end decoded_end(const platform_operation& operation, const http_response& response) {
  return decode_answer(1, operation, response).end;
}

http_response response_with_tag(std::uint16_t status, const std::string& tag,
                                const std::string& body = "") {
  return {status, {{"ETag", tag}}, body};
}

} // namespace

TEST_CASE("operations are encoded as conditional requests") {
  CHECK(*encode_operation(read_row{"head/a+b"}) ==
        platform_exchange{"GET", "/rows/head/a%2Bb", {}, ""});
  CHECK(*encode_operation(write_rows{{{"k", "v", 0}}}) ==
        platform_exchange{"PUT", "/rows/k", {{"If-None-Match", "*"}}, "v"});
  CHECK(*encode_operation(write_rows{{{"k", "v", 7}}}) ==
        platform_exchange{"PUT", "/rows/k", {{"If-Match", "\"7\""}}, "v"});
  CHECK(encode_operation(write_rows{{{"k", "v", 7}, {"l", "w", 0}}})->target == "/transaction");
  CHECK_FALSE(encode_operation(write_rows{}).ok());
  CHECK_FALSE(encode_operation(write_rows{{{"k", "\xff", 0}}}).ok());
  CHECK_FALSE(encode_operation(read_row{"a b"}).ok());
  CHECK_FALSE(encode_operation(read_object{"../rows/x"}).ok());
}

TEST_CASE("an invalid response fails a row read") {
  const read_row operation{"k"};
  const auto found = decode_answer(9, operation, response_with_tag(200, "\"3\"", "v"));
  CHECK(found == platform_answer{9, platform_end::done, {{"k", "v", 3}}, ""});
  CHECK(decode_answer(9, operation, {404, {}, ""}) ==
        platform_answer{9, platform_end::done, {}, ""});
  CHECK(decoded_end(operation, response_with_tag(200, "3", "v")) == platform_end::failed_before);
  CHECK(decoded_end(operation, response_with_tag(200, "\"0\"", "v")) ==
        platform_end::failed_before);
  CHECK(decoded_end(operation, response_with_tag(200, "\"-1\"", "v")) ==
        platform_end::failed_before);
  CHECK(decoded_end(operation, {503, {}, ""}) == platform_end::failed_before);
}

TEST_CASE("a row write is done only if the response has the next version") {
  const write_rows operation{{{"k", "v", 3}}};
  CHECK(decode_answer(9, operation, response_with_tag(200, "\"4\"")) ==
        platform_answer{9, platform_end::done, {{"k", "v", 4}}, ""});
  CHECK(decoded_end(operation, response_with_tag(200, "\"5\"")) == platform_end::unknown);
  CHECK(decoded_end(operation, {200, {}, ""}) == platform_end::unknown);
  CHECK(decoded_end(operation, {412, {}, ""}) == platform_end::refused);
  CHECK(decoded_end(operation, {400, {}, ""}) == platform_end::failed_before);
  CHECK(decoded_end(operation, {503, {}, ""}) == platform_end::unknown);
  const write_rows two{{{"k", "v", 3}, {"l", "w", 0}}};
  CHECK(decoded_end(two, {200, {}, encode_rows({{"k", "v", 4}, {"l", "w", 1}})}) ==
        platform_end::done);
  CHECK(decoded_end(two, {200, {}, encode_rows({{"k", "v", 4}})}) == platform_end::unknown);
}

TEST_CASE("an object that does not match its digest is rejected") {
  const read_object operation{sha256_hex("abc")};
  CHECK(decode_answer(9, operation, {200, {}, "abc"}).bytes == "abc");
  CHECK(decoded_end(operation, {200, {}, "abd"}) == platform_end::failed_before);
  CHECK(decoded_end(operation, {404, {}, ""}) == platform_end::refused);
}

TEST_CASE("an invalid list of rows is rejected") {
  const list_rows operation{"a/", 2};
  CHECK(decoded_end(operation, {200, {}, encode_rows({{"a/1", "", 1}, {"a/2", "", 1}})}) ==
        platform_end::done);
  CHECK(decoded_end(operation, {200, {}, encode_rows({{"a/2", "", 1}, {"a/1", "", 1}})}) ==
        platform_end::failed_before);
  CHECK(decoded_end(operation, {200, {}, encode_rows({{"b/1", "", 1}})}) ==
        platform_end::failed_before);
  CHECK(decoded_end(operation, {200, {}, encode_rows({{"a/1", "", 0}})}) ==
        platform_end::failed_before);
  CHECK(decoded_end(operation,
                    {200, {}, encode_rows({{"a/1", "", 1}, {"a/2", "", 1}, {"a/3", "", 1}})}) ==
        platform_end::failed_before);
}

TEST_CASE("percent encoding round-trips") {
  CHECK(rc::check("round trip", [](const std::string& text) {
    RC_ASSERT(percent_decode(percent_encode(text)) == text);
  }));
  CHECK_FALSE(percent_decode("%4").has_value());
  CHECK_FALSE(percent_decode("%zz").has_value());
}

#include "acaciasill/control/configuration_head.h"

#include <catch2/catch.hpp>

#include "acaciasill/support/hash.h"

using namespace acaciasill;
using namespace acaciasill::control;

TEST_CASE("a configuration head round-trips through its encoding") {
  const configuration_head head{7, support::sha256_hex("new"), "token", "r12",
                                support::sha256_hex("old")};
  const auto decoded = decode_configuration_head(encode_configuration_head(head));
  REQUIRE(decoded.ok());
  CHECK(*decoded == head);
}

TEST_CASE("a malformed configuration head is refused") {
  const std::string digest = support::sha256_hex("x");
  const auto head = GENERATE_COPY(configuration_head{0, digest, "t", "r", ""},
                                  configuration_head{1, "short", "t", "r", ""},
                                  configuration_head{1, digest, "t", "r", "short"});
  CHECK_FALSE(decode_configuration_head(encode_configuration_head(head)).ok());
  CHECK_FALSE(decode_configuration_head("{").ok());
  CHECK_FALSE(decode_configuration_head("[]").ok());
  CHECK_FALSE(decode_configuration_head(R"({"generation":-1})").ok());
  CHECK_FALSE(decode_configuration_head(std::string(5000, ' ')).ok());
}

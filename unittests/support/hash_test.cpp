#include "acaciasill/support/hash.h"

#include <catch2/catch.hpp>

using namespace acaciasill::support;

TEST_CASE("sha256 matches the published test vector") {
  CHECK(sha256_hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("byte strings compare equal only when all bytes agree") {
  CHECK(constant_time_equal("abc", "abc"));
  CHECK_FALSE(constant_time_equal("abc", "abd"));
  CHECK_FALSE(constant_time_equal("abc", "ab"));
}

TEST_CASE("a signer gives the HMAC of each text under its key") {
  hmac_signer signer("key");
  CHECK(signer.sign("one") == hmac_sha256("key", "one"));
  CHECK(signer.sign("two") == hmac_sha256("key", "two"));
  CHECK(signer.sign("one") == hmac_sha256("key", "one"));
}

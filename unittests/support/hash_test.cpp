#include "acaciasill/support/hash.h"

#include <catch2/catch.hpp>

using namespace acaciasill::support;

TEST_CASE("sha256 matches the published test vector") {
  CHECK(sha256_hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("constant_time_equal compares length and all bytes") {
  CHECK(constant_time_equal("abc", "abc"));
  CHECK_FALSE(constant_time_equal("abc", "abd"));
  CHECK_FALSE(constant_time_equal("abc", "ab"));
}

TEST_CASE("a reused signer gives the same results as hmac_sha256") {
  hmac_signer signer("key");
  CHECK(signer.sign("one") == hmac_sha256("key", "one"));
  CHECK(signer.sign("two") == hmac_sha256("key", "two"));
  CHECK(signer.sign("one") == hmac_sha256("key", "one"));
}

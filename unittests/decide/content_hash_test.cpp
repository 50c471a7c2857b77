#include "acaciasill/decide/content_hash.h"

#include <catch2/catch.hpp>

using acaciasill::decide::hash_content;

TEST_CASE("a request is told by its service, method, target and body") {
  const auto content = hash_content("diary", "GET", "/a/x", "b");
  CHECK(content == hash_content("diary", "GET", "/a/x", "b"));
  CHECK(content != hash_content("diary2", "GET", "/a/x", "b"));
  CHECK(content != hash_content("diary", "POST", "/a/x", "b"));
  CHECK(content != hash_content("diary", "GET", "/a/y", "b"));
  CHECK(content != hash_content("diary", "GET", "/a/x", "c"));
  CHECK(hash_content("a", "bc", "d", "") != hash_content("ab", "c", "d", ""));
}

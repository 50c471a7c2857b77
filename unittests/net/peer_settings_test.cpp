#include "acaciasill/net/peer_settings.h"

#include <catch2/catch.hpp>

#include "acaciasill/support/result_code.h"

using namespace acaciasill;

TEST_CASE("settings without a key require allow_unauthenticated", "[net]") {
  net::peer_settings settings;
  CHECK(support::code_of(net::check_settings(settings)) ==
        support::result_code::peer_not_authenticated);
  settings.allow_unauthenticated = true;
  CHECK(net::check_settings(settings).ok());
  settings.max_calls = 0;
  CHECK(support::code_of(net::check_settings(settings)) == support::result_code::out_of_range);
}

TEST_CASE("peer addresses are IP addresses with a port", "[net]") {
  CHECK(net::parse_peer_address("127.0.0.1:7001")->port() == 7001);
  CHECK(net::parse_peer_address("[::1]:7001")->address().is_v6());
  for (const auto* text : {"", "127.0.0.1", "localhost:1", "::1:7001", "127.0.0.1:", "127.0.0.1:-1",
                           "127.0.0.1:70000", "[127.0.0.1]:1"}) {
    CHECK(support::code_of(net::parse_peer_address(text).status()) ==
          support::result_code::out_of_range);
  }
}

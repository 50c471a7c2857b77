#include "acaciasill/decide/parents.h"

#include <catch2/catch.hpp>

using namespace acaciasill::decide;

TEST_CASE("a running call tells of each service below it as it was last, and of the strictest") {
  parent_table table(16);
  const request_id id{1, 2};
  const auto parent = open_parent(table, id, 0, false);
  REQUIRE(parent);
  const auto learn = [&](std::uint32_t service, level threshold) {
    return_to_parent(table, *parent, 0, {}, true, child_threshold{service, threshold});
  };
  learn(1, 100);
  learn(1, 500);
  SECTION("an overload that has passed is not told") {
    CHECK(close_parent(table, *parent, 0).threshold == 500);
  }
  SECTION("another service's looser threshold hides nothing") {
    learn(2, 900);
    CHECK(close_parent(table, *parent, 0).threshold == 500);
  }
  SECTION("a reply that tells of no service changes nothing") {
    return_to_parent(table, *parent, 0, {}, false);
    CHECK(close_parent(table, *parent, 0).threshold == 500);
  }
  SECTION("the next request starts with all open") {
    close_parent(table, *parent, 0);
    const auto next = open_parent(table, id, 0, false);
    REQUIRE(next);
    CHECK(close_parent(table, *next, 0).threshold == accept_all);
  }
}

#include "acaciasill/decide/parent_calls.h"

#include <catch2/catch.hpp>

using namespace acaciasill::decide;

TEST_CASE("a parent reports the strictest of the latest thresholds of its services") {
  parent_table table(16);
  const request_id id{1, 2};
  const auto parent = open_parent(table, id, {.lent_attempts = 0, .holds_finished_work = false});
  REQUIRE(parent);
  const auto learn = [&](std::uint32_t service, level threshold) {
    return_to_parent(table, *parent, 0, {}, true, child_threshold{service, threshold});
  };
  learn(1, 100);
  learn(1, 500);
  SECTION("an overload that has passed is not reported") {
    CHECK(close_parent(table, *parent, 0).threshold == 500);
  }
  SECTION("a looser threshold of another service does not replace a stricter one") {
    learn(2, 900);
    CHECK(close_parent(table, *parent, 0).threshold == 500);
  }
  SECTION("a reply without a threshold changes nothing") {
    return_to_parent(table, *parent, 0, {}, false);
    CHECK(close_parent(table, *parent, 0).threshold == 500);
  }
  SECTION("the next request starts with open thresholds") {
    close_parent(table, *parent, 0);
    const auto next = open_parent(table, id, {.lent_attempts = 0, .holds_finished_work = false});
    REQUIRE(next);
    CHECK(close_parent(table, *next, 0).threshold == accept_all);
  }
}

#include "overload_loop.h"

#include <catch2/catch.hpp>

using namespace acaciasill::decide::testing;

namespace {

loop_summary try_out(const loop_settings& settings) {
  loop all(settings);
  run(all);
  return summarise(all);
}

} // namespace

TEST_CASE("goodput holds at twice the capacity with clients that retry hard") {
  const auto sum = try_out({.demand = 2.0});
  CHECK(sum.under >= 0.95);
  CHECK(sum.important >= 0.99);
  CHECK(sum.recovery_s <= 2.0);
}

TEST_CASE("goodput holds at ten times the capacity with clients that retry hard") {
  const auto sum = try_out({.demand = 10.0, .client_retries = 4});
  CHECK(sum.under >= 0.90);
  CHECK(sum.important >= 0.99);
  CHECK(sum.recovery_s <= 2.0);
  CHECK(sum.organisations[0] >= 0.5 * 0.95);
}

TEST_CASE("a deep service that was ten times slower is back at once") {
  const auto sum = try_out({.demand = 1.5, .slowness = 10.0});
  CHECK(sum.under >= 0.08);
  CHECK(sum.recovery_s <= 2.0);
}

TEST_CASE("small organisations within their shares are not touched by a surge of the largest") {
  loop all({.demand = 10.0, .client_retries = 4});
  all.parts = {0.984, 0.008,
               0.008}; // Each small one offers 0.08 of capacity and is guaranteed 0.1.
  run(all);
  const auto sum = summarise(all);
  CHECK(sum.success[1] >= 0.95);
  CHECK(sum.success[2] >= 0.95);
  CHECK(sum.under >= 0.90);
}

TEST_CASE("the largest organisation keeps its share while all the small ones surge") {
  loop all({.demand = 10.0, .client_retries = 4});
  all.parts = {0.045, 0.4775, 0.4775}; // The largest offers 0.45 of capacity, guaranteed 0.5.
  run(all);
  const auto sum = summarise(all);
  CHECK(sum.success[0] >= 0.95);
  CHECK(sum.under >= 0.90);
}

#include <catch2/catch.hpp>

#include "control/claims_model.h"

using namespace acaciasill::control::tests;

TEST_CASE("each key executes at most once, and reported outcomes are correct", "[control]") {
  CHECK(rc::check([] { check_at_most_once(*generate_actions()); }));
}

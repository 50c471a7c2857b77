#include <catch2/catch.hpp>

#include "control/claims_model.h"

using namespace acaciasill::control::tests;

TEST_CASE("each key runs at most once, and what is said of it is true", "[control]") {
  CHECK(rc::check([] { check_claims(*some_moves()); }));
}

#include "../../lib/control/object_difference.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace acaciasill::control;

TEST_CASE("an object is reassembled from any base and the middle section") {
  CHECK(rc::check("join of difference", [](const std::string& head, const std::string& tail,
                                           const std::string& old, const std::string& fresh) {
    const std::string base = head + old + tail;
    const std::string object = head + fresh + tail;
    const auto difference = compare_objects(base, object);
    const auto middle = middle_of(object, difference);
    RC_ASSERT(middle.size() <= fresh.size());
    RC_ASSERT(join_object(base, difference, middle) == object);
  }));
}

TEST_CASE("a prefix and suffix that exceed the base yield an empty object") {
  CHECK(join_object("abc", {2, 2}, "x").empty());
  CHECK(join_object("abc", {~0U, ~0U}, "x").empty());
}

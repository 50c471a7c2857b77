#include "acaciasill/daemon/call_context.h"

#include <catch2/catch.hpp>

using namespace acaciasill;
using namespace acaciasill::daemon;

namespace {

call_context example() {
  call_context context;
  context.id = {1, 2};
  context.organisation = "big dealer";
  context.rank = 3;
  context.depth = 2;
  context.deadline = support::time_point(support::milliseconds(1234));
  return context;
}

} // namespace

TEST_CASE("a context comes back as it was given") {
  const auto text = format_context(example(), "secret");
  CHECK(parse_context(text, {1, 2}, "secret") == example());
}

TEST_CASE("a context of another request, daemon or rank is not taken") {
  auto text = format_context(example(), "secret");
  CHECK_FALSE(parse_context(text, {1, 3}, "secret").has_value());
  CHECK_FALSE(parse_context(text, {1, 2}, "other").has_value());
  text[0] = '0';
  CHECK_FALSE(parse_context(text, {1, 2}, "secret").has_value());
  CHECK_FALSE(parse_context("", {1, 2}, "secret").has_value());
}

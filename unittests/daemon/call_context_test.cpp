#include "acaciasill/daemon/call_context.h"

#include <catch2/catch.hpp>

#include "acaciasill/support/hash.h"

using namespace acaciasill;
using namespace acaciasill::daemon;
using support::hmac_signer;

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

TEST_CASE("a formatted call context parses back to the same values") {
  hmac_signer signer("secret");
  const auto text = format_context(example(), signer);
  CHECK(parse_context(text, {1, 2}, signer) == example());
}

TEST_CASE("a call context of another request, daemon or rank is rejected") {
  hmac_signer signer("secret");
  hmac_signer other("other");
  auto text = format_context(example(), signer);
  CHECK_FALSE(parse_context(text, {1, 3}, signer).has_value());
  CHECK_FALSE(parse_context(text, {1, 2}, other).has_value());
  text[0] = '0';
  CHECK_FALSE(parse_context(text, {1, 2}, signer).has_value());
  CHECK_FALSE(parse_context("", {1, 2}, signer).has_value());
}

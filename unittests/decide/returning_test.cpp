#include "acaciasill/decide/returning.h"

#include <catch2/catch.hpp>

using namespace acaciasill::decide;
using acaciasill::support::milliseconds;
using acaciasill::support::seconds;
using acaciasill::support::time_point;

namespace {

const time_point start{seconds(100)};

} // namespace

TEST_CASE(
    "a caller that waited is distinguished from a first attempt; one that retried at once is not") {
  first_attempt_time first;
  CHECK_FALSE(is_returning(first, milliseconds(5000), start));
  CHECK_FALSE(is_returning(first, milliseconds(5000), start));
  CHECK_FALSE(is_returning(first, milliseconds(4995), start));
  CHECK(is_returning(first, milliseconds(4800), start));
  CHECK_FALSE(is_returning(first, milliseconds(5000), start));
}

TEST_CASE("callers with shorter timeouts count as first attempts after 5 s") {
  first_attempt_time first;
  CHECK_FALSE(is_returning(first, milliseconds(5000), start));
  CHECK(is_returning(first, milliseconds(1000), start + seconds(4)));
  CHECK_FALSE(is_returning(first, milliseconds(1000), start + seconds(6)));
  CHECK_FALSE(is_returning(first, milliseconds(1000), start + seconds(7)));
  CHECK(is_returning(first, milliseconds(900), start + seconds(7)));
}

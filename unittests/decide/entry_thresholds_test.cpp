#include "acaciasill/decide/entry_thresholds.h"

#include <catch2/catch.hpp>

using namespace acaciasill;
using namespace acaciasill::decide;
using support::milliseconds;

namespace {

const support::time_point start{milliseconds(100000)};
const level strict = make_level(2, false, {});

} // namespace

TEST_CASE("without a learned threshold, or for a subject outside the table, nothing is shed") {
  const entry_thresholds table(2, 2);
  CHECK_FALSE(shed_at_entry(table, 1, 1, accept_all, start));
  CHECK_FALSE(shed_at_entry(table, 7, 1, accept_all, start));
  CHECK_FALSE(shed_at_entry(table, 1, 7, accept_all, start));
}

TEST_CASE("a stricter reply takes effect at once and only for its subject and organisation") {
  entry_thresholds table(2, 2);
  record_threshold(table, 1, 0, strict, start);
  CHECK(shed_at_entry(table, 1, 0, strict + 1, start));
  CHECK_FALSE(shed_at_entry(table, 1, 0, strict, start));
  CHECK_FALSE(shed_at_entry(table, 1, 1, accept_all, start));
  CHECK_FALSE(shed_at_entry(table, 0, 0, accept_all, start));
}

TEST_CASE("looser replies open an entry gradually") {
  entry_thresholds table(1, 1);
  record_threshold(table, 0, 0, strict, start);
  record_threshold(table, 0, 0, accept_all, start);
  CHECK(shed_at_entry(table, 0, 0, accept_all, start));
  CHECK(entry_threshold(table, 0, 0, start) > strict);
  for (int reply = 0; reply < 1000; ++reply) {
    record_threshold(table, 0, 0, accept_all, start);
  }
  CHECK(entry_threshold(table, 0, 0, start) == accept_all);
}

TEST_CASE("a strict threshold opens with age alone, in increasing steps") {
  entry_thresholds table(1, 1);
  record_threshold(table, 0, 0, 0, start);
  level before = 0;
  for (int step = 0; step < 11; ++step) {
    const auto now = start + milliseconds(100 * step);
    const auto threshold = entry_threshold(table, 0, 0, now);
    CHECK((step == 0 || threshold > before));
    before = threshold;
  }
  CHECK(entry_threshold(table, 0, 0, start + milliseconds(1200)) == accept_all);
}

TEST_CASE("a time before the last reply is treated as age 0") {
  entry_thresholds table(1, 1);
  record_threshold(table, 0, 0, strict, start);
  CHECK(entry_threshold(table, 0, 0, start - milliseconds(50)) == strict);
}

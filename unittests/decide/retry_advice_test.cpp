#include "acaciasill/decide/retry_advice.h"

#include <catch2/catch.hpp>

using namespace acaciasill;
using namespace acaciasill::decide;

TEST_CASE("the retry-after time grows with the excess, less for important calls, and decays") {
  support::random_source random(1);
  caller_excess excess;
  CHECK(retry_after_ms(excess, 7, random) < 150);
  record_admitted(excess);
  for (int call = 0; call < 10; ++call) {
    record_refused(excess);
  }
  update_excess(excess);
  CHECK(excess.ratio_percent == 1000);
  for (int draw = 0; draw < 20; ++draw) {
    CHECK(retry_after_ms(excess, 0, random) < 150);
    CHECK(retry_after_ms(excess, 7, random) >= 550);
    CHECK(retry_after_ms(excess, 7, random) < 1650);
  }
  for (int period = 0; period < 100; ++period) {
    update_excess(excess);
  }
  CHECK(excess.ratio_percent == 0);
}

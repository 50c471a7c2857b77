#include "acaciasill/net/load_histogram.h"

#include <catch2/catch.hpp>

using namespace acaciasill;
using namespace acaciasill::net;
using support::microseconds;

TEST_CASE("the relative error of a quantile is at most 1/64") {
  load_histogram histogram;
  for (int value = 1; value <= 100000; ++value) {
    histogram.add(microseconds(value));
  }
  for (const double fraction : {0.001, 0.5, 0.9, 0.99, 0.999, 1.0}) {
    const double exact = fraction * 100000;
    const auto estimate = static_cast<double>(histogram.quantile(fraction).count());
    CHECK(estimate >= exact);
    CHECK(estimate <= exact * (1.0 + 1.0 / 64));
  }
  CHECK(histogram.max() == microseconds(100000));
}

TEST_CASE("a merged histogram contains the values of both") {
  load_histogram left;
  load_histogram right;
  left.add(microseconds(10));
  right.add(microseconds(5000000));
  right.add(microseconds(-3));
  left.merge(right);
  CHECK(left.count() == 3);
  CHECK(left.quantile(0.0) == microseconds(0));
  CHECK(left.quantile(0.5) == microseconds(10));
  CHECK(left.quantile(1.0) == microseconds(5000000));
}

#include "acaciasill/decide/level.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace acaciasill::decide;

TEST_CASE("levels order by rank, then finished work, then the hash of the id") {
  const request_id one{1, 2};
  const request_id two{3, 4};
  CHECK(make_level(0, false, one) < make_level(1, true, two));
  CHECK(make_level(2, true, one) < make_level(2, false, two));
  CHECK((make_level(2, true, one) < make_level(2, true, two)) ==
        ((hash_request(one) & hash_mask) < (hash_request(two) & hash_mask)));
  CHECK(make_level(200, false, one) == make_level(7, false, one));
  CHECK(admits(accept_all, make_level(7, false, one)));
}

TEST_CASE("with a path threshold the entry sheds exactly the calls that the upstream would shed") {
  CHECK(rc::check([](std::uint64_t high, std::uint64_t low, level threshold, bool held) {
    const auto rank = *rc::gen::inRange<std::uint8_t>(0, 8);
    const auto there = make_level(rank, held, {high, low});
    const auto at_entry = path_level(make_level(rank, false, {high, low}));
    RC_ASSERT(admits(threshold, there) == admits(path_threshold(threshold, held), at_entry));
  }));
}

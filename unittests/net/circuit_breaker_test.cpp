#include "acaciasill/net/circuit_breaker.h"

#include <catch2/catch.hpp>

using namespace acaciasill::net;
using acaciasill::support::duration;
using acaciasill::support::milliseconds;
using acaciasill::support::random_source;
using acaciasill::support::time_point;

TEST_CASE("the breaker opens after consecutive failures and closes after one successful trial") {
  const breaker_settings settings{3, milliseconds(100), milliseconds(150)};
  random_source random(1);
  breaker_state state;
  time_point now{};
  on_failure(state, settings, now, random);
  on_failure(state, settings, now, random);
  on_success(state);
  on_failure(state, settings, now, random);
  on_failure(state, settings, now, random);
  CHECK(allow_request(state, now));
  on_failure(state, settings, now, random);
  CHECK_FALSE(allow_request(state, now));
  CHECK_FALSE(allow_request(state, now + milliseconds(49)));
  now += milliseconds(100);
  CHECK(allow_request(state, now));
  CHECK_FALSE(allow_request(state, now));

  on_failure(state, settings, now, random);
  CHECK(state.open_duration == milliseconds(150));
  CHECK_FALSE(allow_request(state, now + milliseconds(74)));
  CHECK(allow_request(state, now + milliseconds(150)));
  on_success(state);
  CHECK(allow_request(state, now));
  CHECK(allow_request(state, now));
}

TEST_CASE("a late failure does not extend the open time of a breaker") {
  const breaker_settings settings{1, milliseconds(100), milliseconds(1000)};
  random_source random(1);
  breaker_state state;
  on_failure(state, settings, time_point{}, random);
  const auto until = state.open_until;
  on_failure(state, settings, time_point{} + milliseconds(20), random);
  CHECK(state.open_until == until);
}

TEST_CASE("full jitter stays below the doubled base and the cap") {
  random_source random(1);
  duration longest{0};
  for (std::uint32_t i = 0; i < 1000; ++i) {
    CHECK(full_jitter(milliseconds(50), milliseconds(2000), 0, random) < milliseconds(50));
    CHECK(full_jitter(milliseconds(50), milliseconds(2000), 1, random) < milliseconds(100));
    longest = std::max(longest, full_jitter(milliseconds(50), milliseconds(2000), 99, random));
  }
  CHECK(longest < milliseconds(2000));
  CHECK(longest > milliseconds(1500));
}

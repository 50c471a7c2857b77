#include "acaciasill/board/generation_watch.h"

#include <catch2/catch.hpp>

using namespace acaciasill;
using namespace acaciasill::board;

namespace {

support::time_point at(int milliseconds) {
  return support::time_point(support::milliseconds(milliseconds));
}

} // namespace

TEST_CASE("a daemon requests a configuration that its peers have had in force longer than the "
          "tolerance") {
  generation_watch watch;
  generation_lag lag;
  watch.in_force = 2;
  record_peer_generation(watch, 2);
  CHECK_FALSE(should_request_configuration(watch, lag, at(0)));
  record_peer_generation(watch, 6);
  record_peer_generation(watch, 4);
  CHECK(watch.highest_seen == 6);
  CHECK_FALSE(should_request_configuration(watch, lag, at(100)));
  CHECK_FALSE(should_request_configuration(watch, lag, at(399)));
  CHECK(should_request_configuration(watch, lag, at(400)));
  SECTION("the request is repeated at intervals while the daemon is behind") {
    CHECK_FALSE(should_request_configuration(watch, lag, at(800)));
    CHECK(should_request_configuration(watch, lag, at(900)));
  }
  SECTION("putting the generation in force ends the lag") {
    watch.in_force = 6;
    CHECK_FALSE(should_request_configuration(watch, lag, at(500)));
    record_peer_generation(watch, 7);
    CHECK_FALSE(should_request_configuration(watch, lag, at(1000)));
    CHECK(should_request_configuration(watch, lag, at(1300)));
  }
}

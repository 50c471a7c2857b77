#include <catch2/catch.hpp>

#include "acaciasill/net/http_text.h"

#include "cluster_fixture.h"

using namespace acaciasill;
using namespace acaciasill::platform;
using namespace acaciasill::platform::testing;

TEST_CASE("a server that states in its answers that it leaves gets no further requests",
          "[.stated_leaving]") {
  test_cluster cluster;
  cluster.report("ready", 1);
  REQUIRE(cluster.call_until("/a/x", 200).status == 200);
  cluster.back.set_leaving(true);
  const auto last = cluster.call("/a/x");
  REQUIRE(last.status == 200);
  REQUIRE(net::find_field(last.headers, "Server-Leaving") != nullptr);
  CHECK(cluster.call_until("/a/x", 503).status == 503);

  SECTION("also if a report that was sent before arrives afterwards") {
    cluster.report("ready", 2);
  }
  SECTION("also after a restart of the daemon beside it") {
    cluster.restart_back_daemon();
    cluster.context.run_for(std::chrono::seconds(2));
  }
  const auto executed_before = cluster.back.executed_requests().size();
  for (int attempt = 0; attempt < 10; ++attempt) {
    CHECK(cluster.call("/a/x").status == 503);
  }
  CHECK(cluster.back.executed_requests().size() == executed_before);
}

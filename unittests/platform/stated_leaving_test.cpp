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

// DRAIN: a new process took a delayed report for that of a serving instance, since the departure
// was acknowledged while the store was away and known to its predecessor only.
TEST_CASE("a departure acknowledged while the store is away binds the daemon's next process",
          "[.stated_leaving]") {
  test_cluster cluster;
  cluster.report("ready", 1);
  REQUIRE(cluster.call_until("/a/x", 200).status == 200);
  cluster.store.set_fault(standin::table_fault::refuse);
  cluster.run_for(std::chrono::milliseconds(300));
  cluster.back.set_leaving(true);
  cluster.deregister();
  const auto executed_before = cluster.back.executed_requests().size();
  cluster.restart_back_daemon();
  cluster.run_for(std::chrono::milliseconds(300));
  const bool is_report_early = GENERATE(true, false);
  if (is_report_early) {
    cluster.report("ready", 2);
  }
  cluster.store.set_fault(standin::table_fault::none);
  cluster.run_for(std::chrono::milliseconds(2000));
  if (!is_report_early) {
    cluster.report("ready", 2);
  }
  for (int attempt = 0; attempt < 10; ++attempt) {
    CHECK(cluster.call("/a/x").status == 503);
  }
  CHECK(cluster.back.executed_requests().size() == executed_before);
}

TEST_CASE("a server is used again after a restart of the daemon beside it", "[.stated_leaving]") {
  test_cluster cluster;
  cluster.report("ready", 1);
  REQUIRE(cluster.call_until("/a/x", 200).status == 200);
  const bool store_is_away = GENERATE(false, true);
  if (store_is_away) {
    cluster.store.set_fault(standin::table_fault::refuse);
  }
  cluster.restart_back_daemon();
  cluster.report("ready", 2);
  cluster.report("ready", 3);
  CHECK(cluster.call_until("/a/x", 200).status == 200);
}

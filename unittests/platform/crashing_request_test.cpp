#include <algorithm>

#include <catch2/catch.hpp>

#include "cluster_fixture.h"

using namespace acaciasill;
using namespace acaciasill::platform;
using namespace acaciasill::platform::testing;

namespace {

constexpr int slots = 8;
constexpr char crashing_target[] = "/a/crash";
// The platform's bound on attempts after the third crash.
constexpr std::size_t max_late_attempts = 3;

// Sends the request that crashes the server, and starts the server again if it did. Returns the
// answer to the caller.
net::client_response send_crashing_request(test_cluster& cluster, int& start_ms) {
  const auto response = cluster.call(crashing_target);
  cluster.context.run_for(iteration_time);
  if (!cluster.back.is_running()) {
    REQUIRE(cluster.back.restart().ok());
    cluster.report("ready", 1, slots, ++start_ms);
    REQUIRE(cluster.call_until("/a/x", 200).status == 200);
  }
  return response;
}

std::size_t attempts(const test_cluster& cluster) {
  const auto& executed = cluster.back.executed_requests();
  return static_cast<std::size_t>(
      std::count_if(executed.begin(), executed.end(),
                    [](const auto& request) { return request.target == crashing_target; }));
}

} // namespace

TEST_CASE("a request that has crashed three servers is not sent to further ones",
          "[.crashing_request]") {
  test_cluster cluster;
  int start_ms = 7;
  cluster.report("ready", 1, slots, start_ms);
  REQUIRE(cluster.call_until("/a/x", 200).status == 200);
  cluster.back.set_crashing_target(crashing_target);
  while (attempts(cluster) < 3) {
    // The outcome is not known to the caller.
    CHECK(send_crashing_request(cluster, start_ms).status == 502);
  }
  const auto attempts_before = attempts(cluster);

  SECTION("") {}
  SECTION("also after a restart of the daemon beside the server") {
    cluster.restart_back_daemon();
    cluster.report("ready", 2, slots, start_ms);
    REQUIRE(cluster.call_until("/a/x", 200).status == 200);
  }
  for (int call = 0; call < 10; ++call) {
    send_crashing_request(cluster, start_ms);
  }
  CHECK(attempts(cluster) - attempts_before <= max_late_attempts);
  CHECK(send_crashing_request(cluster, start_ms).status == 503);
  CHECK(cluster.call("/a/x").status == 200);
}

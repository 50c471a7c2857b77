#include <catch2/catch.hpp>

#include "acaciasill/net/http_text.h"
#include "acaciasill/support/result_code.h"

#include "cluster_fixture.h"

using namespace acaciasill;
using namespace acaciasill::platform;
using namespace acaciasill::platform::testing;
using standin::backend_behaviour;

namespace {

constexpr int slots = 64;
constexpr double stated_rate = 10.0;
// The platform's bound on calls to a server that states a limit.
constexpr double max_rate_excess = 1.5;
constexpr double max_extra_calls = 5.0;

double max_calls_in(support::duration span) {
  return max_rate_excess * stated_rate * std::chrono::duration<double>(span).count() +
         max_extra_calls;
}

// Makes the server of the second service state a limit, and waits until a caller has seen it.
void state_rate(test_cluster& cluster) {
  cluster.report("ready", 1, slots);
  cluster.back.set_stated_rate("10");
  const auto response = cluster.call_until("/a/x", 200);
  REQUIRE(response.status == 200);
  REQUIRE(net::find_field(response.headers, "Server-Limit") != nullptr);
}

// Sends a burst as soon as the daemon beside the server passes requests on again.
void check_burst_after_restart(test_cluster& cluster) {
  const auto executed_before = cluster.back.executed_requests().size();
  const auto started = support::monotonic_now();
  for (int attempt = 0;
       attempt < max_iterations && cluster.back.executed_requests().size() == executed_before;
       ++attempt) {
    cluster.call_concurrently("/a/x", 1, support::milliseconds(50));
  }
  cluster.call_concurrently("/a/x", 60, support::milliseconds(500));
  const auto executed = cluster.back.executed_requests().size() - executed_before;
  CHECK(static_cast<double>(executed) <= max_calls_in(support::monotonic_now() - started));
}

} // namespace

TEST_CASE("a server that states a rate limit does not get more calls than it allows",
          "[.stated_rate]") {
  test_cluster cluster;
  state_rate(cluster);
  const auto executed_before = cluster.back.executed_requests().size();
  const auto started = support::monotonic_now();
  cluster.call_concurrently("/a/x", 60, support::milliseconds(500));
  const auto executed = cluster.back.executed_requests().size() - executed_before;
  CHECK(static_cast<double>(executed) <= max_calls_in(support::monotonic_now() - started));
}

TEST_CASE(
    "a daemon that was stopped and started keeps to the rate limit that others have passed on",
    "[.stated_rate]") {
  test_cluster cluster;
  state_rate(cluster);
  // The daemon's row leaves the directory while it stops, and returns with the new process.
  cluster.stop_back_daemon();
  const auto no_upstream = support::format_code(support::result_code::no_upstream) + "\n";
  bool is_unlisted = false;
  for (int attempt = 0; attempt < max_iterations && !is_unlisted; ++attempt) {
    is_unlisted = cluster.call("/a/x").body == no_upstream;
    cluster.context.run_for(iteration_time);
  }
  REQUIRE(is_unlisted);
  cluster.back.set_behaviour(backend_behaviour::hang);
  cluster.restart_back_daemon();
  cluster.report("ready", 2, slots);
  check_burst_after_restart(cluster);
}

TEST_CASE("a restarted daemon keeps to the rate limit that other daemons have passed on",
          "[.stated_rate]") {
  test_cluster cluster;
  state_rate(cluster);
  cluster.restart_back_daemon();
  // The server does not answer requests, so the new process learns nothing from them.
  cluster.back.set_behaviour(backend_behaviour::hang);
  cluster.report("ready", 2, slots);
  check_burst_after_restart(cluster);
}

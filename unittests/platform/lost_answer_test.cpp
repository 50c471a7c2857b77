#include <catch2/catch.hpp>

#include "cluster_fixture.h"

using namespace acaciasill;
using namespace acaciasill::platform;
using namespace acaciasill::platform::testing;

// Guards against requests that reach a draining server because their first answer was lost.
TEST_CASE("a draining server does not get a request again whose answer it has lost",
          "[.lost_answer]") {
  constexpr int callers = 4;
  test_cluster cluster;
  cluster.report("ready", 1);
  REQUIRE(cluster.call_until("/a/x", 200).status == 200);
  // Leaves a kept connection to the server for each caller.
  cluster.call_concurrently("/a/x", callers, support::seconds(2));
  cluster.back.set_behaviour(standin::backend_behaviour::hang);
  const auto executed_before = cluster.back.executed_requests().size();
  int ended = 0;
  for (int index = 0; index < callers; ++index) {
    auto request = cluster.caller_request("/a/x", "GET", support::seconds(2));
    request.address = {asio::ip::make_address("127.0.0.2"),
                       static_cast<std::uint16_t>(cluster.first_port + 2)};
    cluster.burst_client.send(std::move(request),
                              [&ended](const net::client_response&) { ++ended; });
  }
  const auto reached = executed_before + callers;
  for (int iteration = 0;
       iteration < max_iterations && cluster.back.executed_requests().size() < reached;
       ++iteration) {
    cluster.context.restart();
    cluster.context.run_for(iteration_time);
  }
  REQUIRE(cluster.back.executed_requests().size() == reached);
  cluster.report("draining", 2);
  REQUIRE(cluster.back.reset_connections().ok());
  for (int iteration = 0; iteration < max_iterations && ended < callers; ++iteration) {
    cluster.context.restart();
    cluster.context.run_for(iteration_time);
  }
  CHECK(ended == callers);
  CHECK(cluster.back.executed_requests().size() == reached);
}

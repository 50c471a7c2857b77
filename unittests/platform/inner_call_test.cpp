#include <catch2/catch.hpp>

#include "cluster_fixture.h"

using namespace acaciasill;
using namespace acaciasill::platform;
using namespace acaciasill::platform::testing;

namespace {

// Makes the server of the second service call the first service for each request, and answer with
// the status of that call.
void call_front_for_each_request(test_cluster& cluster) {
  cluster.back.set_handler(
      [&cluster](const net::http_request& request, const net::http_responder& respond) {
        const auto id = *net::find_field(request.headers, "Request-Id");
        auto inner = cluster.caller_request("/f/x", "GET", support::seconds(1));
        inner.address = {asio::ip::make_address("127.0.0.3"),
                         static_cast<std::uint16_t>(cluster.first_port + 2)};
        inner.headers[1].value = id + ".1";
        cluster.client.send(std::move(inner), [respond, id](const net::client_response& response) {
          const std::uint16_t status = response.status == 200 ? 200 : 500;
          respond({status, {{"Request-Id", id}, {"Server-Stamp", "i-back." + id}}, "", false});
        });
        return true;
      });
}

// Adds the second server of the first service, and waits until both have served a call.
void start_with_two_fronts(test_cluster& cluster) {
  cluster.add_second_front();
  cluster.report("ready", 1, 8);
  call_front_for_each_request(cluster);
  while (cluster.front.executed_requests().empty() ||
         cluster.second_front.executed_requests().empty()) {
    REQUIRE(cluster.call_until("/a/x", 200).status == 200);
  }
}

standin::request_handler refuse_first(int& refused, int count) {
  return [&refused, count](const net::http_request&, const net::http_responder& respond) {
    if (refused >= count) {
      return false;
    }
    ++refused;
    respond({503, {{"Not-Run", "1"}}, "", false});
    return true;
  };
}

} // namespace

TEST_CASE("a call of a running request that a server turns away is sent to another server",
          "[.inner_call]") {
  test_cluster cluster;
  start_with_two_fronts(cluster);
  int refused = 0;
  cluster.front.set_handler(refuse_first(refused, 1));
  cluster.second_front.set_handler(refuse_first(refused, 1));
  CHECK(cluster.call("/a/x").status == 200);
  CHECK(refused == 1);
}

TEST_CASE("a call of a running request that has run and failed is not run again", "[.inner_call]") {
  test_cluster cluster;
  start_with_two_fronts(cluster);
  int runs = 0;
  const standin::request_handler fail = [&runs](const net::http_request& request,
                                                const net::http_responder& respond) {
    ++runs;
    const auto id = *net::find_field(request.headers, "Request-Id");
    respond({500, {{"Request-Id", id}, {"Server-Stamp", "i-front." + id}}, "", false});
    return true;
  };
  cluster.front.set_handler(fail);
  cluster.second_front.set_handler(fail);
  CHECK(cluster.call("/a/x").status == 500);
  CHECK(runs == 1);
}

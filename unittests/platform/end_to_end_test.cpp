#include <catch2/catch.hpp>

#include "acaciasill/net/http_text.h"
#include "acaciasill/wire/table_answer.h"

#include "cluster_fixture.h"

// End-to-end tests of the platform adapter.

using namespace acaciasill;
using namespace acaciasill::platform;
using namespace acaciasill::platform::testing;
using standin::backend_behaviour;
using standin::table_fault;

// A probe does not give the start time of the server, so the first report changes only the daemon's
// own row. The daemon used to publish its directory inside a read section in that case and
// deadlocked waiting for itself.
TEST_CASE("a report after a probe does not block the daemon") {
  test_cluster cluster;
  REQUIRE(cluster.call_until("/a/x", 200).status == 200);
  cluster.report("ready", 1);
  net::client_request readiness_request;
  readiness_request.method = "GET";
  readiness_request.target = "/api/ready";
  CHECK(cluster.send("127.0.0.3", 3, readiness_request).status == 200);
  cluster.report("ready", 2);
}

TEST_CASE("a request is forwarded to a remote backend server and its response is returned") {
  test_cluster cluster;
  cluster.report("ready", 1);
  const auto response = cluster.call_until("/a/x?y=1", 200);
  REQUIRE(response.status == 200);
  CHECK(response.body == "served /a/x?y=1");
  CHECK(net::find_field(response.headers, "Server-Stamp") != nullptr);
  const auto& seen = cluster.back.executed_requests().back().headers;
  CHECK(*net::find_field(seen, "Caller") == "front");
  CHECK(*net::find_field(seen, "Expect-Instance") == "i-back");
  CHECK(*net::find_field(seen, "Request-Id") == "id-" + std::to_string(cluster.last_id));
  CHECK(cluster.call("/c/x").status == 404);

  SECTION("a draining server gets no requests despite a late ready report") {
    cluster.report("draining", 3);
    cluster.report("ready", 2);
    const auto executed_before = cluster.back.executed_requests().size();
    const auto refused = cluster.call("/a/x");
    CHECK(refused.status == 503);
    CHECK(net::find_field(refused.headers, "Retry-After") != nullptr);
    CHECK(cluster.back.executed_requests().size() == executed_before);
  }
  SECTION("requests continue during a store outage and changes apply afterwards") {
    cluster.store.set_fault(table_fault::refuse);
    CHECK(cluster.call("/a/x").status == 200);
    cluster.store.put("op", "config", configuration("00000002", "/c/"));
    cluster.store.discard_history();
    cluster.store.set_fault(table_fault::none);
    CHECK(cluster.call_until("/c/x", 200).status == 200);
    CHECK(cluster.call("/b/x").status == 404);
  }
  SECTION("an older configuration does not replace a newer one") {
    cluster.store.put("op", "config", configuration("00000005", "/c/"));
    CHECK(cluster.call_until("/c/x", 200).status == 200);
    cluster.store.put("op", "config", configuration("00000003", "/b/"));
    cluster.store.put("op", "config", configuration("00000006", "/c/d/"));
    CHECK(cluster.call_until("/c/d/x", 200).status == 200);
    CHECK(cluster.call("/b/x").status == 404);
  }
  SECTION("a restored store changes nothing that is in force, and later changes apply") {
    cluster.store.take_copy();
    cluster.store.put("op", "config", configuration("00000002", "/c/"));
    REQUIRE(cluster.call_until("/c/x", 200).status == 200);
    cluster.store.restore();
    CHECK(cluster.call("/c/x").status == 200);
    CHECK(cluster.call("/b/x").status == 404);
    cluster.store.put("op", "config", configuration("00000003", "/d/"));
    CHECK(cluster.call_until("/d/x", 200).status == 200);
  }
  SECTION("a row that is not base64 is skipped") {
    cluster.store.put_unreadable("op", "config");
    cluster.store.put_unreadable("acaciasill-members", "127.0.0.9:1");
    CHECK(cluster.call("/a/x").status == 200);
    cluster.store.put("op", "config", configuration("00000003", "/d/"));
    CHECK(cluster.call_until("/d/x", 200).status == 200);
  }
  SECTION("another daemon can read the copy of a table") {
    net::client_request read;
    read.method = "GET";
    read.target = "/tables/op";
    const auto whole = cluster.send("127.0.0.2", 1, read);
    REQUIRE(whole.status == 200);
    const auto rows = wire::decode_table_answer(whole.body);
    REQUIRE(rows.ok());
    REQUIRE(rows->rows.size() == 1);
    CHECK(rows->rows.front().value == configuration("00000001", "/b/"));
    read.target = "/tables/op?after=0&era=" + std::to_string(rows->era) + "&wait_ms=0";
    CHECK(cluster.send("127.0.0.2", 1, read).status == 200);
    read.target = "/tables/op?after=0&era=0&wait_ms=0";
    CHECK(cluster.send("127.0.0.2", 1, read).status == 410);
    read.target = "/tables/unknown";
    CHECK(cluster.send("127.0.0.2", 1, read).status == 404);
  }
  SECTION("a request with an unknown outcome is not retried and a refusal gives 503") {
    cluster.back.set_behaviour(backend_behaviour::omit_signature);
    const auto executed_before = cluster.back.executed_requests().size();
    CHECK(cluster.call("/b/x", "POST").status == 502);
    CHECK(cluster.back.executed_requests().size() == executed_before + 1);
    cluster.back.set_behaviour(backend_behaviour::refuse);
    CHECK(cluster.call("/b/x", "POST").status == 503);
    CHECK(cluster.back.executed_requests().size() == executed_before + 1);
  }
  SECTION("the route timeout ends a request and closes its backend connection") {
    cluster.back.set_behaviour(backend_behaviour::hang);
    const auto closed = cluster.back.closed_connections();
    CHECK(cluster.call("/b/x", "POST").status == 504);
    for (int iteration = 0;
         iteration < max_iterations && cluster.back.closed_connections() == closed; ++iteration) {
      cluster.context.restart();
      cluster.context.run_one_for(iteration_time);
    }
    CHECK(cluster.back.closed_connections() > closed);
  }
}

// CONFIG: a name that was too long when encoded, or one invalid route, kept every later
// configuration out of force.
TEST_CASE("a configuration with a long name and an invalid route is in force") {
  test_cluster cluster;
  cluster.report("ready", 1);
  REQUIRE(cluster.call_until("/a/x", 200).status == 200);
  auto text = configuration("00000002", "/b/");
  const std::string first_route = R"("r-1":)";
  const auto add_route = [&](const std::string& name, const std::string& prefix,
                             const std::string& service) {
    text.insert(text.find(first_route),
                "\"" + name + R"(":{"host":"h.example","prefix":")" + prefix +
                    R"(","kind":"idempotent","timeout_s":2,"service":")" + service + R"("},)");
  };
  add_route("BIKE_RESERVATION_WITH_DEPOSIT", "/long/", "nox78a");
  add_route("r-bad", "/a/bad/", "nowhere");
  cluster.store.put("op", "config", text);
  CHECK(cluster.call_until("/long/x", 200).status == 200);
  CHECK(cluster.call("/a/x").status == 200);
  // The requests of the invalid route do not fall to the shorter prefix.
  const auto executed_before = cluster.back.executed_requests().size();
  CHECK(cluster.call("/a/bad/x").status == 503);
  CHECK(cluster.back.executed_requests().size() == executed_before);
}

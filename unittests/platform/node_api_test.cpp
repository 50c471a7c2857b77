#include "node_api.h"

#include <catch2/catch.hpp>

using namespace acaciasill;
using platform::read_probe;
using platform::read_report;

TEST_CASE("a heartbeat is read into a report") {
  const auto report = read_report(
      "i-1", R"({"service":"s","address":"10.0.0.1:1","zone":"z","version":"v1","capacity":36,)"
             R"("state":"draining","warmup_left_s":1.5,"sequence":4,"born":1768497261000})");
  REQUIRE(report.ok());
  CHECK(report->instance == "i-1");
  CHECK(report->slots == 36);
  CHECK(report->sequence == 4);
  CHECK(report->start_ms == 1768497261000);
  CHECK(report->draining);
  CHECK(report->warm_up_left == support::milliseconds(1500));
}

TEST_CASE("a heartbeat of another writer names no backend server") {
  const char* const bodies[] = {
      "",
      "[]",
      "{}",
      "\xff",
      R"({"service":"s","address":"a","capacity":"36","state":"ready","sequence":4})",
      R"({"service":"s","address":"a","capacity":36,"state":"resting","sequence":4})",
      R"({"service":1,"address":"a","capacity":36,"state":"ready","sequence":4})",
      R"({"service":"s","address":"a","capacity":0,"state":"ready","sequence":4})",
      R"({"service":"s","address":"a","capacity":36,"state":"ready"})"};
  for (const auto* body : bodies) {
    CHECK_FALSE(read_report("i-1", body).ok());
  }
  CHECK_FALSE(
      read_report("", R"({"service":"s","address":"a","capacity":36,"state":"ready","sequence":4})")
          .ok());
}

TEST_CASE("a health answer shows who answers, whether it serves, and its slots") {
  net::client_response response{
      net::exchange_end::answered, 200, {{"Instance-Id", "i-1"}, {"Server-Load", "3,0,36"}}, ""};
  const auto serving = read_probe(response);
  REQUIRE(serving);
  CHECK(*serving == daemon::backend_probe{"i-1", true, 36});
  response.status = 503;
  CHECK_FALSE(read_probe(response)->serving);
  response.headers.clear();
  CHECK_FALSE(read_probe(response));
  response.end = net::exchange_end::broken;
  CHECK_FALSE(read_probe(response));
}

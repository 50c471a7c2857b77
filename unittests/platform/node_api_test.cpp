#include "node_api.h"

#include <catch2/catch.hpp>

using namespace acaciasill;
using platform::parse_probe;
using platform::parse_report;

TEST_CASE("a heartbeat is parsed into a report") {
  const auto report = parse_report(
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

TEST_CASE("an invalid heartbeat is rejected") {
  const char* const bodies[] = {
      "",
      "[]",
      "{}",
      "\xff",
      R"({"service":"s","address":"10.0.0.1:1","capacity":"36","state":"ready","sequence":4})",
      R"({"service":"s","address":"10.0.0.1:1","capacity":36,"state":"resting","sequence":4})",
      R"({"service":1,"address":"10.0.0.1:1","capacity":36,"state":"ready","sequence":4})",
      R"({"service":"s","address":"10.0.0.1:1","capacity":0,"state":"ready","sequence":4})",
      R"({"service":"s","address":"10.0.0.1:1","capacity":36,"state":"ready"})"};
  for (const auto* body : bodies) {
    CHECK_FALSE(parse_report("i-1", body).ok());
  }
  CHECK_FALSE(
      parse_report(
          "",
          R"({"service":"s","address":"10.0.0.1:1","capacity":36,"state":"ready","sequence":4})")
          .ok());
}

// Guards against a heartbeat of another writer that names a server with truncated or absurd
// numbers.
TEST_CASE("a heartbeat with numbers or a port out of range is rejected") {
  constexpr std::size_t depth = 200000;
  const auto heartbeat = [](const std::string& address, const std::string& capacity,
                            const std::string& sequence, const std::string& born) {
    return R"({"service":"s","address":")" + address + R"(","capacity":)" + capacity +
           R"(,"state":"ready","sequence":)" + sequence + R"(,"born":)" + born + "}";
  };
  const std::string address = "10.0.0.1:1";
  CHECK(parse_report("i-1", heartbeat(address, "36", "4", "7")).ok());
  for (const auto* other :
       {"", "a", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999"}) {
    INFO(other);
    CHECK_FALSE(parse_report("i-1", heartbeat(other, "36", "4", "7")).ok());
  }
  const auto nested = std::string(depth, '[') + std::string(depth, ']');
  for (const auto& number : {std::string("-1"), std::string("1.5"), std::string("1e300"),
                             std::string("1e999"), std::string(30, '9'), nested}) {
    INFO(number.substr(0, 32));
    CHECK_FALSE(parse_report("i-1", heartbeat(address, number, "4", "7")).ok());
    CHECK_FALSE(parse_report("i-1", heartbeat(address, "36", number, "7")).ok());
    CHECK_FALSE(parse_report("i-1", heartbeat(address, "36", "4", number)).ok());
  }
  CHECK_FALSE(parse_report("i-1", heartbeat(address, "4294967332", "4", "7")).ok());
  CHECK_FALSE(parse_report("i-1", heartbeat(address, "1000001", "4", "7")).ok());
}

TEST_CASE("the warm-up time of a heartbeat is bounded") {
  const auto warm_up = [](const std::string& seconds) {
    return parse_report("i-1", R"({"service":"s","address":"10.0.0.1:1","capacity":36,)"
                               R"("state":"ready","sequence":4,"warmup_left_s":)" +
                                   seconds + "}")
        .value()
        .warm_up_left;
  };
  CHECK(warm_up("2.5") == support::milliseconds(2500));
  CHECK(warm_up("-1e300") == support::milliseconds(0));
  CHECK(warm_up("1e300") == support::seconds(3600));
}

TEST_CASE("a health response gives the instance, its health and its slots") {
  net::client_response response{
      net::exchange_end::answered, 200, {{"Instance-Id", "i-1"}, {"Server-Load", "3,0,36"}}, ""};
  const auto serving = parse_probe(response);
  REQUIRE(serving);
  CHECK(*serving == daemon::backend_probe{"i-1", true, 36});
  response.headers.push_back({"Server-Leaving", "1"});
  CHECK_FALSE(parse_probe(response)->serving);
  response.headers.pop_back();
  response.status = 503;
  CHECK_FALSE(parse_probe(response)->serving);
  response.headers.clear();
  CHECK_FALSE(parse_probe(response));
  response.end = net::exchange_end::not_sent;
  CHECK(parse_probe(response)->refused);
  response.end = net::exchange_end::broken;
  CHECK_FALSE(parse_probe(response));
}

#include <functional>
#include <optional>
#include <thread>

#include <asio.hpp>
#include <catch2/catch.hpp>

#include "acaciasill/board/rcu_cell.h"
#include "acaciasill/net/http_client.h"
#include "acaciasill/net/http_text.h"
#include "acaciasill/wire/table_answer.h"

#include "configuration_row.h"
#include "node.h"
#include "standin/backend_server.h"
#include "standin/table_service.h"

// End-to-end tests of the platform adapter: two daemons, their backend servers and the table
// service on loopback. The name of the second service is one that the adapter has to encode.

using namespace acaciasill;
using namespace acaciasill::platform;
using standin::backend_behaviour;
using standin::table_fault;

namespace {

constexpr int max_iterations = 1000;
constexpr std::chrono::milliseconds iteration_time{10};

// A daemon with its own control thread.
class running_node {
public:
  explicit running_node(const node_settings& settings) : process_(context_, settings) {
    std::optional<absl::Status> started;
    std::thread starter([&] {
      const board::rcu_reader_thread registration;
      started = process_.start();
    });
    starter.join();
    REQUIRE(started->ok());
    thread_ = std::thread([this] {
      const board::rcu_reader_thread registration;
      context_.run();
    });
  }

  ~running_node() {
    context_.stop();
    thread_.join();
  }

private:
  asio::io_context context_{1};
  node process_;
  std::thread thread_;
};

std::string configuration(const std::string& version, const std::string& second_prefix) {
  return R"({"version":")" + version +
         R"(","routes":{)"
         R"("r-1":{"host":"h.example","prefix":"/a/","kind":"idempotent","timeout_s":2,)"
         R"("target_latency_s":1,"priority":1,"service":"nox78a","attempts":2},)"
         R"("r-2":{"host":"h.example","prefix":")" +
         second_prefix +
         R"(","kind":"non_idempotent","timeout_s":0.4,)"
         R"("target_latency_s":1,"priority":0,"service":"nox78a","attempts":2}},)"
         R"("services":{"front":{"health_path":"/health"},"nox78a":{"health_path":"/health"}},)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_s":3,)"
         R"("idle_timeout_s":15}})";
}

// The table service, two daemons with backend servers, and a client. The daemons run on their own
// threads, the rest on the test's thread.
class test_cluster {
public:
  test_cluster()
      : store(context, "127.0.0.1"), front(context, "127.0.0.2", "i-front"),
        back(context, "127.0.0.3", "i-back"), client(context, 8, 1 << 20) {
    REQUIRE(store.open().ok());
    REQUIRE(front.open().ok());
    REQUIRE(back.open().ok());
    store.put("op", "config", configuration("00000001", "/b/"));
    first_port = free_ports();
    nodes.push_back(std::make_unique<running_node>(settings("127.0.0.2", "front", front.port())));
    nodes.push_back(std::make_unique<running_node>(settings("127.0.0.3", "nox78a", back.port())));
  }

  // Returns the first of five consecutive ports that are free on both addresses; the daemons share
  // one port range, as on the platform. Returns 0 if there are none.
  static std::uint16_t free_ports() {
    for (std::uint16_t base = 21000; base < 30000; base += 10) {
      bool free = true;
      for (const auto* ip : {"127.0.0.2", "127.0.0.3"}) {
        for (std::uint16_t port = base; port < base + 5; ++port) {
          free = free && net::check_port_available(ip, port).ok();
        }
      }
      if (free) {
        return base;
      }
    }
    return 0;
  }

  node_settings settings(const std::string& ip, const std::string& service,
                         std::uint16_t backend_port) const {
    const auto at = [&](int offset) { return ip + ":" + std::to_string(first_port + offset); };
    node_settings result;
    result.daemon.name = "n-" + service;
    result.daemon.data_centre = "dc";
    result.daemon.region = "r";
    result.platform_service = service;
    result.daemon.service = encode_service_name(service);
    result.daemon.peer_listen = at(0);
    result.daemon.metrics_listen = at(1);
    result.daemon.callers_listen = at(2);
    result.ready_listen = at(3);
    result.reports_listen = at(4);
    result.own_ip = ip;
    result.backend_address = ip + ":" + std::to_string(backend_port);
    result.store_address = "127.0.0.1:" + std::to_string(store.port());
    return result;
  }

  net::client_response send(const std::string& ip, int offset, net::client_request request) {
    request.address = {asio::ip::make_address(ip), static_cast<std::uint16_t>(first_port + offset)};
    std::optional<net::client_response> result;
    client.send(std::move(request),
                [&result](net::client_response response) { result = std::move(response); });
    for (int iteration = 0; iteration < max_iterations && !result; ++iteration) {
      context.restart();
      context.run_one_for(iteration_time);
    }
    return result.value_or(net::client_response{});
  }

  // Sends a caller's request to the daemon of the front service.
  net::client_response call(const std::string& target, const std::string& method = "GET") {
    net::client_request request;
    request.method = method;
    request.target = target;
    request.headers = {{"Host", "h.example"},
                       {"Request-Id", "id-" + std::to_string(++last_id)},
                       {"Deadline-Ms", "2000"},
                       {"Caller", "forged"}};
    return send("127.0.0.2", 2, request);
  }

  void report(const std::string& state, int sequence) {
    net::client_request request;
    request.method = "POST";
    request.target = "/api/Instances.Heartbeat/i-back";
    request.body = R"({"service":"nox78a","address":"127.0.0.3:1","zone":"dc","version":"v",)"
                   R"("capacity":4,"born":7,"state":")" +
                   state + R"(","warmup_left_s":0,"sequence":)" + std::to_string(sequence) + "}";
    CHECK(send("127.0.0.3", 4, request).status == 200);
  }

  // Repeats the request until it gets the status or the iterations are used up.
  net::client_response call_until(const std::string& target, std::uint16_t status) {
    net::client_response response;
    for (int iteration = 0; iteration < max_iterations && response.status != status; ++iteration) {
      response = call(target);
      if (response.status != status) {
        context.restart();
        context.run_for(iteration_time);
      }
    }
    return response;
  }

  asio::io_context context;
  standin::table_service store;
  standin::backend_server front;
  standin::backend_server back;
  net::http_client client;
  std::uint16_t first_port = 0;
  int last_id = 0;
  std::vector<std::unique_ptr<running_node>> nodes;
};

} // namespace

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

#include <functional>
#include <optional>
#include <thread>

#include <asio.hpp>
#include <catch2/catch.hpp>

#include "acaciasill/board/rcu_cell.h"
#include "acaciasill/net/http_client.h"
#include "acaciasill/net/http_text.h"

#include "node.h"
#include "standin/backend_server.h"
#include "standin/table_service.h"

// Two daemons of the platform with their backend servers and the table service on loopback: the
// whole way of a request through the adapter, without the platform.

using namespace acaciasill;
using namespace acaciasill::platform;
using standin::backend_manner;
using standin::table_fault;

namespace {

constexpr int longest_turns = 1000;
constexpr std::chrono::milliseconds turn_time{10};

// One daemon with a control thread of its own.
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
         R"("target_latency_s":1,"priority":1,"service":"back","attempts":2},)"
         R"("r-2":{"host":"h.example","prefix":")" +
         second_prefix +
         R"(","kind":"non_idempotent","timeout_s":0.4,)"
         R"("target_latency_s":1,"priority":0,"service":"back","attempts":2}},)"
         R"("services":{"front":{"health_path":"/health"},"back":{"health_path":"/health"}},)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_s":3,)"
         R"("idle_timeout_s":15}})";
}

// The table service, two machines and a caller. The daemons run on threads of their own; the rest
// on the test's.
class small_site {
public:
  small_site()
      : store(context, "127.0.0.1"), front(context, "127.0.0.2", "i-front"),
        back(context, "127.0.0.3", "i-back"), client(context, 8, 1 << 20) {
    REQUIRE(store.open().ok());
    REQUIRE(front.open().ok());
    REQUIRE(back.open().ok());
    store.put("op", "config", configuration("00000001", "/b/"));
    first_port = free_ports();
    nodes.push_back(std::make_unique<running_node>(settings("127.0.0.2", "front", front.port())));
    nodes.push_back(std::make_unique<running_node>(settings("127.0.0.3", "back", back.port())));
  }

  // Ports that are free on both addresses; one range serves both, as on the platform.
  static std::uint16_t free_ports() {
    for (std::uint16_t base = 21000; base < 30000; base += 10) {
      bool free = true;
      for (const auto* ip : {"127.0.0.2", "127.0.0.3"}) {
        for (std::uint16_t port = base; port < base + 5; ++port) {
          free = free && net::reserve_port(ip, port).ok();
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
    result.daemon.service = service;
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

  net::client_response ask(const std::string& ip, int offset, net::client_request request) {
    request.address = {asio::ip::make_address(ip), static_cast<std::uint16_t>(first_port + offset)};
    std::optional<net::client_response> result;
    client.send(std::move(request),
                [&result](net::client_response response) { result = std::move(response); });
    for (int turn = 0; turn < longest_turns && !result; ++turn) {
      context.restart();
      context.run_one_for(turn_time);
    }
    return result.value_or(net::client_response{});
  }

  // A request of a caller on the machine of the front.
  net::client_response call(const std::string& target, const std::string& method = "GET") {
    net::client_request request;
    request.method = method;
    request.target = target;
    request.headers = {{"Host", "h.example"},
                       {"Request-Id", "id-" + std::to_string(++last_id)},
                       {"Deadline-Ms", "2000"},
                       {"Caller", "forged"}};
    return ask("127.0.0.2", 2, request);
  }

  void report(const std::string& state, int sequence) {
    net::client_request request;
    request.method = "POST";
    request.target = "/api/Instances.Heartbeat/i-back";
    request.body = R"({"service":"back","address":"127.0.0.3:1","zone":"dc","version":"v",)"
                   R"("capacity":4,"born":7,"state":")" +
                   state + R"(","warmup_left_s":0,"sequence":)" + std::to_string(sequence) + "}";
    CHECK(ask("127.0.0.3", 4, request).status == 200);
  }

  // Asks until the condition holds, as callers would.
  net::client_response call_until(const std::string& target, std::uint16_t status) {
    net::client_response response;
    for (int turn = 0; turn < longest_turns && response.status != status; ++turn) {
      response = call(target);
      if (response.status != status) {
        context.restart();
        context.run_for(turn_time);
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

// What a probe finds lacks the server's start, so that its own report changes the daemon's row and
// nothing else. The daemon published its directory within a read section then and waited for
// itself.
TEST_CASE("a daemon that found its server by a probe goes on when the server reports") {
  small_site site;
  REQUIRE(site.call_until("/a/x", 200).status == 200);
  site.report("ready", 1);
  net::client_request question;
  question.method = "GET";
  question.target = "/api/ready";
  CHECK(site.ask("127.0.0.3", 3, question).status == 200);
  site.report("ready", 2);
}

TEST_CASE("a request reaches a backend server on another machine and its answer comes back whole") {
  small_site site;
  site.report("ready", 1);
  const auto response = site.call_until("/a/x?y=1", 200);
  REQUIRE(response.status == 200);
  CHECK(response.body == "served /a/x?y=1");
  CHECK(net::find_field(response.headers, "Server-Stamp") != nullptr);
  const auto& seen = site.back.ran().back().headers;
  CHECK(*net::find_field(seen, "Caller") == "front");
  CHECK(*net::find_field(seen, "Expect-Instance") == "i-back");
  CHECK(*net::find_field(seen, "Request-Id") == "id-" + std::to_string(site.last_id));
  CHECK(site.call("/c/x").status == 404);

  SECTION("a server that leaves gets nothing more, whatever late reports say") {
    site.report("draining", 3);
    site.report("ready", 2);
    const auto ran = site.back.ran().size();
    const auto refused = site.call("/a/x");
    CHECK(refused.status == 503);
    CHECK(net::find_field(refused.headers, "Retry-After") != nullptr);
    CHECK(site.back.ran().size() == ran);
  }
  SECTION("service goes on while the store is away, and a change is in force when it is back") {
    site.store.set_fault(table_fault::refuses);
    CHECK(site.call("/a/x").status == 200);
    site.store.put("op", "config", configuration("00000002", "/c/"));
    site.store.forget_history();
    site.store.set_fault(table_fault::none);
    CHECK(site.call_until("/c/x", 200).status == 200);
    CHECK(site.call("/b/x").status == 404);
  }
  SECTION("an older configuration never replaces a newer one") {
    site.store.put("op", "config", configuration("00000005", "/c/"));
    CHECK(site.call_until("/c/x", 200).status == 200);
    site.store.put("op", "config", configuration("00000003", "/b/"));
    site.store.put("op", "config", configuration("00000006", "/c/d/"));
    CHECK(site.call_until("/c/d/x", 200).status == 200);
    CHECK(site.call("/b/x").status == 404);
  }
  SECTION("a request in doubt is not sent twice, and one that was refused says so") {
    site.back.set_manner(backend_manner::unsigned_answers);
    const auto ran = site.back.ran().size();
    CHECK(site.call("/b/x", "POST").status == 502);
    CHECK(site.back.ran().size() == ran + 1);
    site.back.set_manner(backend_manner::refuses);
    CHECK(site.call("/b/x", "POST").status == 503);
    CHECK(site.back.ran().size() == ran + 1);
  }
  SECTION("a request ends at its route's timeout, and its work at the server with it") {
    site.back.set_manner(backend_manner::hangs);
    const auto closed = site.back.closed_connections();
    CHECK(site.call("/b/x", "POST").status == 504);
    for (int turn = 0; turn < longest_turns && site.back.closed_connections() == closed; ++turn) {
      site.context.restart();
      site.context.run_one_for(turn_time);
    }
    CHECK(site.back.closed_connections() > closed);
  }
}

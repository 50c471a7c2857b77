#ifndef ACACIASILL_UNITTESTS_PLATFORM_CLUSTER_FIXTURE_H
#define ACACIASILL_UNITTESTS_PLATFORM_CLUSTER_FIXTURE_H

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <asio.hpp>
#include <catch2/catch.hpp>

#include "acaciasill/board/rcu_cell.h"
#include "acaciasill/net/http_client.h"
#include "acaciasill/net/http_text.h"
#include "acaciasill/support/time.h"

#include "configuration_row.h"
#include "node.h"
#include "standin/backend_server.h"
#include "standin/table_service.h"

// Two daemons of the platform adapter, their backend servers and the table service on loopback. The
// name of the second service is one that the adapter has to encode.
namespace acaciasill::platform::testing {

inline constexpr int max_iterations = 1000;
inline constexpr std::chrono::milliseconds iteration_time{10};

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
      has_stopped_.store(true);
    });
  }

  // Whether a planned stop is complete. A process would end then; the request threads of the node
  // go on until it is destroyed.
  bool has_stopped() const { return has_stopped_.load(); }

  // Begins a planned stop, as on SIGTERM.
  void stop() {
    asio::post(context_, [this] { process_.stop(); });
  }

  ~running_node() {
    context_.stop();
    thread_.join();
  }

private:
  asio::io_context context_{1};
  node process_;
  std::atomic<bool> has_stopped_{false};
  std::thread thread_;
};

inline std::string configuration(const std::string& version, const std::string& second_prefix) {
  return R"({"version":")" + version +
         R"(","routes":{)"
         R"("r-1":{"host":"h.example","prefix":"/a/","kind":"idempotent","timeout_s":2,)"
         R"("target_latency_s":1,"priority":1,"service":"nox78a","attempts":2},)"
         R"("r-2":{"host":"h.example","prefix":")" +
         second_prefix +
         R"(","kind":"non_idempotent","timeout_s":0.4,)"
         R"("target_latency_s":1,"priority":0,"service":"nox78a","attempts":2},)"
         R"("r-3":{"host":"h.example","prefix":"/f/","kind":"idempotent","timeout_s":2,)"
         R"("target_latency_s":1,"priority":1,"service":"front","attempts":2}},)"
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
        back(context, "127.0.0.3", "i-back"), second_front(context, "127.0.0.4", "i-front-2"),
        client(context, 8, 1 << 20), burst_client(context, 64, 1 << 20) {
    REQUIRE(store.open().ok());
    REQUIRE(front.open().ok());
    REQUIRE(back.open().ok());
    store.put("op", "config", configuration("00000001", "/b/"));
    first_port = free_ports();
    nodes.push_back(std::make_unique<running_node>(settings("127.0.0.2", "front", front.port())));
    nodes.push_back(std::make_unique<running_node>(settings("127.0.0.3", "nox78a", back.port())));
  }

  // Adds a second server of the first service, with a daemon.
  void add_second_front() {
    REQUIRE(second_front.open().ok());
    auto added = settings("127.0.0.4", "front", second_front.port());
    added.daemon.name = "n-front-2";
    nodes.push_back(std::make_unique<running_node>(added));
  }

  void stop_back_daemon() { nodes[1]->stop(); }

  // Replaces the daemon beside the second service's server by a new process, which knows nothing.
  void restart_back_daemon() {
    nodes[1].reset();
    nodes[1] = std::make_unique<running_node>(settings("127.0.0.3", "nox78a", back.port()));
  }

  // Returns the first of five consecutive ports that are free on all addresses; the daemons share
  // one port range, as on the platform. Returns 0 if there are none.
  static std::uint16_t free_ports() {
    for (std::uint16_t base = 21000; base < 30000; base += 10) {
      bool free = true;
      for (const auto* ip : {"127.0.0.2", "127.0.0.3", "127.0.0.4"}) {
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
    result.daemon.service = encode_name(service);
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
    // A test may have replaced the daemon since the last request.
    request.resend_on_closed_connection = true;
    std::optional<net::client_response> result;
    client.send(std::move(request),
                [&result](net::client_response response) { result = std::move(response); });
    for (int iteration = 0; iteration < max_iterations && !result; ++iteration) {
      context.restart();
      context.run_one_for(iteration_time);
    }
    return result.value_or(net::client_response{});
  }

  net::client_request caller_request(const std::string& target, const std::string& method,
                                     support::milliseconds time_left) {
    net::client_request request;
    request.method = method;
    request.target = target;
    request.headers = {{"Host", "h.example"},
                       {"Request-Id", "id-" + std::to_string(++last_id)},
                       {"Deadline-Ms", std::to_string(time_left.count())},
                       {"Caller", "forged"}};
    return request;
  }

  // Sends a caller's request to the daemon of the front service.
  net::client_response call(const std::string& target, const std::string& method = "GET") {
    return send("127.0.0.2", 2, caller_request(target, method, support::seconds(2)));
  }

  // Sends `count` requests to the daemon of the front service at once; returns when all have ended.
  void call_concurrently(const std::string& target, int count, support::milliseconds time_left) {
    int ended = 0;
    for (int index = 0; index < count; ++index) {
      auto request = caller_request(target, "GET", time_left);
      request.address = {asio::ip::make_address("127.0.0.2"),
                         static_cast<std::uint16_t>(first_port + 2)};
      burst_client.send(std::move(request), [&ended](const net::client_response&) { ++ended; });
    }
    for (int iteration = 0; iteration < max_iterations && ended < count; ++iteration) {
      context.restart();
      context.run_for(iteration_time);
    }
    REQUIRE(ended == count);
  }

  void report(const std::string& state, int sequence, int slots = 4, int start_ms = 7) {
    net::client_request request;
    request.method = "POST";
    request.target = "/api/Instances.Heartbeat/i-back";
    request.body = R"({"service":"nox78a","address":"127.0.0.3:1","zone":"dc","version":"v",)"
                   R"("capacity":)" +
                   std::to_string(slots) + R"(,"born":)" + std::to_string(start_ms) +
                   R"(,"state":")" + state + R"(","warmup_left_s":0,"sequence":)" +
                   std::to_string(sequence) + "}";
    CHECK(send("127.0.0.3", 4, request).status == 200);
  }

  // Deregisters the second service's server.
  void deregister(int start_ms = 7) {
    net::client_request request;
    request.method = "POST";
    request.target = "/api/Instances.Deregister/i-back";
    request.body = R"({"born":)" + std::to_string(start_ms) + "}";
    CHECK(send("127.0.0.3", 4, request).status == 200);
  }

  // Lets the stand-ins run.
  void run_for(std::chrono::milliseconds time) {
    context.restart();
    context.run_for(time);
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
  standin::backend_server second_front;
  net::http_client client;
  net::http_client burst_client;
  std::uint16_t first_port = 0;
  int last_id = 0;
  std::vector<std::unique_ptr<running_node>> nodes;
};

} // namespace acaciasill::platform::testing

#endif

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <asio.hpp>
#include <catch2/catch.hpp>

#include "net/peer_fixture.h"

#include "cluster_fixture.h"

// Planned stops of the daemon that callers use, while the server of their requests is on another
// machine.

using namespace acaciasill;
using namespace acaciasill::platform;
using namespace acaciasill::platform::testing;

namespace {

constexpr int slots = 100;
constexpr std::chrono::milliseconds work_time{150};

// Answers each request after the work time and records which requests have run.
class working_server {
public:
  explicit working_server(test_cluster& cluster, std::string body = "done") {
    cluster.back.set_handler([this, &cluster, body](const net::http_request& request,
                                                    const net::http_responder& respond) {
      const auto* id = net::find_field(request.headers, "Request-Id");
      if (id == nullptr) {
        return false;
      }
      ran_.insert(*id);
      auto timer = std::make_shared<asio::steady_timer>(cluster.context, work_time);
      timer->async_wait([timer, respond, body, id = *id](asio::error_code error) {
        if (!error) {
          respond({200, {{"Request-Id", id}, {"Server-Stamp", "abc"}}, body, false});
        }
      });
      return true;
    });
  }

  bool has_run(const std::string& id) const { return ran_.contains(id); }

private:
  std::set<std::string> ran_;
};

// A request and how it ended.
struct late_request {
  std::string id;
  std::string kind;
  std::optional<net::client_response> response;
};

net::peer_address callers_address(const test_cluster& cluster) {
  return {asio::ip::make_address("127.0.0.2"), static_cast<std::uint16_t>(cluster.first_port + 2)};
}

} // namespace

TEST_CASE("requests that a stopping daemon passes on are answered before it ends", "[.stopping]") {
  constexpr int kept_connections = 30;
  constexpr std::chrono::milliseconds request_interval{50};
  test_cluster cluster;
  cluster.report("ready", 1, slots);
  REQUIRE(cluster.call_until("/a/x", 200).status == 200);
  working_server server(cluster);
  cluster.call_concurrently("/a/x", kept_connections, support::seconds(5));

  std::vector<std::shared_ptr<late_request>> requests;
  std::vector<std::unique_ptr<net::http_client>> new_connections;
  const auto send = [&](net::http_client& client, const std::string& kind,
                        const std::string& target, const std::string& method) {
    auto request = cluster.caller_request(target, method, support::seconds(2));
    request.address = callers_address(cluster);
    auto late = std::make_shared<late_request>();
    late->id = *net::find_field(request.headers, "Request-Id");
    late->kind = kind + " " + method;
    requests.push_back(late);
    client.send(std::move(request),
                [late](net::client_response response) { late->response = std::move(response); });
  };
  cluster.nodes[0]->stop();
  while (!cluster.nodes[0]->has_stopped()) {
    for (const auto& [target, method] : {std::pair("/a/x", "GET"), std::pair("/b/x", "POST")}) {
      send(cluster.burst_client, "kept", target, method);
      new_connections.push_back(std::make_unique<net::http_client>(cluster.context, 1, 1 << 20));
      send(*new_connections.back(), "new", target, method);
    }
    cluster.context.restart();
    cluster.context.run_for(request_interval);
  }
  cluster.nodes[0].reset();
  const auto all_ended = [&requests] {
    return std::all_of(requests.begin(), requests.end(),
                       [](const auto& late) { return late->response.has_value(); });
  };
  for (int iteration = 0; iteration < max_iterations && !all_ended(); ++iteration) {
    cluster.context.restart();
    cluster.context.run_for(iteration_time);
  }
  REQUIRE(all_ended());
  int served = 0;
  int refused = 0;
  for (const auto& late : requests) {
    INFO(late->kind << ", " << late->id);
    if (server.has_run(late->id)) {
      CHECK(late->response->end == net::exchange_end::answered);
      CHECK(late->response->status == 200);
      ++served;
    } else {
      refused += late->response->status == 503 ? 1 : 0;
    }
  }
  CHECK(served > 0);
  CHECK(refused > 0);
}

TEST_CASE("an answer that its caller reads slowly is complete before a stopping daemon ends",
          "[.stopping]") {
  constexpr std::size_t body_bytes = 4'000'000;
  constexpr int receive_buffer_bytes = 32768;
  // Longer than a stop without any request takes, shorter than the time until the kill.
  constexpr std::chrono::milliseconds pause{3500};
  test_cluster cluster;
  cluster.report("ready", 1, slots);
  REQUIRE(cluster.call_until("/a/x", 200).status == 200);
  const working_server server(cluster, std::string(body_bytes, 'x'));
  asio::ip::tcp::socket caller(cluster.context);
  caller.open(asio::ip::tcp::v4());
  caller.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes));
  caller.connect(callers_address(cluster));
  const std::string request = "GET /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: slow\r\n"
                              "Deadline-Ms: 9000\r\n\r\n";
  asio::write(caller, asio::buffer(request));
  for (int iteration = 0; iteration < max_iterations && !server.has_run("slow"); ++iteration) {
    cluster.context.restart();
    cluster.context.run_one_for(iteration_time);
  }
  cluster.context.restart();
  cluster.context.run_for(2 * work_time);
  cluster.nodes[0]->stop();
  cluster.context.restart();
  cluster.context.run_for(pause);
  if (cluster.nodes[0]->has_stopped()) {
    cluster.nodes[0].reset();
  }
  std::string answer;
  asio::error_code error;
  while (!error && answer.size() < body_bytes) {
    std::array<char, 65536> buffer{};
    const auto count = caller.read_some(asio::buffer(buffer), error);
    answer.append(buffer.data(), count);
  }
  const auto head_end = answer.find("\r\n\r\n");
  REQUIRE(head_end != std::string::npos);
  while (!error && answer.size() < head_end + 4 + body_bytes) {
    std::array<char, 65536> buffer{};
    const auto count = caller.read_some(asio::buffer(buffer), error);
    answer.append(buffer.data(), count);
  }
  CHECK(answer.size() == head_end + 4 + body_bytes);
}

TEST_CASE("replies that another daemon reads slowly are complete before a stopping daemon ends",
          "[.stopping]") {
  constexpr std::size_t body_bytes = 3'900'000;
  constexpr std::uint64_t calls = 2;
  constexpr int receive_buffer_bytes = 32768;
  // Longer than a stop without any request takes, shorter than the time until a link without
  // progress is closed.
  constexpr std::chrono::milliseconds pause{2800};
  test_cluster cluster;
  cluster.report("ready", 1, slots);
  REQUIRE(cluster.call_until("/a/x", 200).status == 200);
  const working_server server(cluster, std::string(body_bytes, 'x'));
  tests::raw_endpoint peer(cluster.context);
  peer.connect({asio::ip::make_address("127.0.0.3"), cluster.first_port}, receive_buffer_bytes);
  peer.perform_handshake();
  for (std::uint64_t call = 1; call <= calls; ++call) {
    auto request = tests::request_with(call);
    request.correlation = call;
    request.service = encode_name("nox78a");
    request.method = "GET";
    request.target = "/a/x";
    request.headers = {{"Request-Id", "call-" + std::to_string(call)}};
    request.time_left_us = 9'000'000;
    peer.write(wire::encode(request));
  }
  REQUIRE(tests::run_until(
      cluster.context, [&server] { return server.has_run("call-1") && server.has_run("call-2"); }));
  cluster.context.restart();
  cluster.context.run_for(2 * work_time);
  cluster.nodes[1]->stop();
  cluster.context.restart();
  cluster.context.run_for(pause);
  if (cluster.nodes[1]->has_stopped()) {
    cluster.nodes[1].reset();
  }
  for (std::uint64_t call = 1; call <= calls; ++call) {
    const auto frame = peer.read();
    REQUIRE(frame);
    CHECK(std::get<wire::call_reply>(*frame).body.size() == body_bytes);
  }
}

#include <catch2/catch.hpp>

#include "acaciasill/net/http_text.h"

#include "cluster_fixture.h"

using namespace acaciasill;
using namespace acaciasill::platform;
using namespace acaciasill::platform::testing;

namespace {

constexpr char key_of_large[] = "key-of-the-large-organisation";

// Returns the fixture's configuration with organisations, and with a public route.
std::string with_organisations(const std::string& version, const std::string& organisations,
                               int timeout_of_public_s = 2) {
  auto text = configuration(version, "/b/");
  const std::string route = R"("r-3":)";
  text.insert(text.find(route),
              R"("r-4":{"host":"h.example","prefix":"/p/","kind":"idempotent","timeout_s":)" +
                  std::to_string(timeout_of_public_s) + R"(,"service":"nox78a","public":true},)");
  text.insert(text.rfind('}'), R"(,"tenants":)" + organisations);
  return text;
}

std::string two_organisations(const std::string& version) {
  return with_organisations(version,
                            R"({"Large Org":{"api_keys":["key-of-the-large-organisation"]},)"
                            R"("small":{"api_keys":["key-of-the-small-organisation"]}})");
}

// The cluster with the organisations' configuration in force at both daemons.
struct organisation_cluster : test_cluster {
  organisation_cluster() {
    report("ready", 1);
    store.put("op", "config", two_organisations("00000002"));
    wait_for_key(key_of_large, 200);
  }

  net::client_response call_with(std::vector<wire::header_field> fields,
                                 const std::string& target = "/a/x") {
    auto request = caller_request(target, "GET", support::seconds(2));
    for (auto& field : fields) {
      request.headers.push_back(std::move(field));
    }
    return send("127.0.0.2", 2, std::move(request));
  }

  void wait_for_key(const std::string& key, std::uint16_t status) {
    std::uint16_t present = 0;
    for (int iteration = 0; iteration < max_iterations && present != status; ++iteration) {
      context.restart();
      context.run_for(iteration_time);
      present = call_with({{"Key", key}}).status;
    }
    REQUIRE(present == status);
  }

  // Waits until the daemon beside the second service's server reaches both services.
  void wait_for_back_daemon() {
    wait_for_back_daemon("/p/x");
    wait_for_back_daemon("/f/x");
  }

  void wait_for_back_daemon(const std::string& target) {
    std::uint16_t status = 0;
    for (int iteration = 0; iteration < max_iterations && status != 200; ++iteration) {
      run_for(iteration_time);
      auto request = caller_request(target, "GET", support::seconds(1));
      request.headers.push_back({"Key", key_of_large});
      status = send("127.0.0.3", 2, std::move(request)).status;
    }
    REQUIRE(status == 200);
  }

  // Returns the header of the latest request that the second service ran; nullptr if it has none.
  const std::string* latest_field(const char* name) const {
    return net::find_field(back.executed_requests().back().headers, name);
  }
};

} // namespace

TEST_CASE("a server gets the organisation's name instead of the key", "[.organisation_key]") {
  organisation_cluster cluster;
  REQUIRE(cluster.call_with({{"Tenant", "forged"}, {"Key", key_of_large}}).status == 200);
  REQUIRE(cluster.latest_field("Tenant") != nullptr);
  CHECK(*cluster.latest_field("Tenant") == "Large Org");
  CHECK(cluster.latest_field("Key") == nullptr);

  SECTION("on a public route the key is not required, and none names no organisation") {
    REQUIRE(cluster.call_with({{"Tenant", "forged"}}, "/p/x").status == 200);
    CHECK(cluster.latest_field("Tenant") == nullptr);
    REQUIRE(cluster.call_with({{"Key", key_of_large}}, "/p/x").status == 200);
    CHECK(*cluster.latest_field("Tenant") == "Large Org");
    REQUIRE(cluster.call_with({{"Key", "unknown"}}, "/p/x").status == 200);
    CHECK(cluster.latest_field("Key") == nullptr);
  }
}

TEST_CASE("a key that nobody has gets 401 and does not run", "[.organisation_key]") {
  organisation_cluster cluster;
  const auto runs = cluster.back.executed_requests().size();
  CHECK(cluster.call_with({{"Key", "key-of-nobody"}}).status == 401);
  CHECK(cluster.call_with({{"Key", ""}}).status == 401);
  CHECK(cluster.call_with({{"Key", "KEY-OF-THE-LARGE-ORGANISATION"}}).status == 401);
  CHECK(cluster.call_with({{"Key", std::string(8000, 'k')}}).status == 401);
  CHECK(cluster.call_with({{"Key", key_of_large}, {"Key", key_of_large}}).status == 401);
  CHECK(cluster.back.executed_requests().size() == runs);
}

TEST_CASE("a withdrawn key is refused and a new one accepted without a restart",
          "[.organisation_key]") {
  organisation_cluster cluster;
  cluster.store.put("op", "config",
                    with_organisations("00000003",
                                       R"({"Large Org":{"api_keys":["the-second-key"]},)"
                                       R"("small":{"api_keys":[]}})"));
  cluster.wait_for_key("the-second-key", 200);
  CHECK(cluster.call_with({{"Key", key_of_large}}).status == 401);
  CHECK(cluster.call_with({{"Key", "key-of-the-small-organisation"}}).status == 401);
}

TEST_CASE("a request without a key that nothing explains is not run", "[.organisation_key]") {
  organisation_cluster cluster;
  cluster.context.run_for(std::chrono::seconds(2));
  CHECK(cluster.call_with({}).status == 401);

  SECTION("nor while the server may still work for an earlier process of the daemon") {
    constexpr int longest_timeout_s = 600;
    cluster.store.put(
        "op", "config",
        with_organisations("00000003", R"({"a":{"api_keys":["a-new-key"]}})", longest_timeout_s));
    cluster.wait_for_key("a-new-key", 200);
    CHECK(cluster.call_with({}).status == 503);
  }
  for (const auto& request : cluster.back.executed_requests()) {
    CHECK(net::find_field(request.headers, "Tenant") != nullptr);
  }
}

namespace {

// Keeps the requests for /a/ at the second service's server unanswered.
struct held_requests {
  explicit held_requests(organisation_cluster& cluster) {
    cluster.back.set_handler(
        [this](const net::http_request& request, const net::http_responder& respond) {
          if (!request.target.starts_with("/a/")) {
            return false;
          }
          ids.push_back(*net::find_field(request.headers, "Request-Id"));
          responders.push_back(respond);
          return true;
        });
  }

  // Starts a request with the key and waits until it runs.
  void start(organisation_cluster& cluster, const std::string& key) {
    auto request = cluster.caller_request("/a/x", "GET", support::seconds(2));
    request.headers.push_back({"Key", key});
    request.address = {asio::ip::make_address("127.0.0.2"),
                       static_cast<std::uint16_t>(cluster.first_port + 2)};
    cluster.burst_client.send(std::move(request), [](const net::client_response&) {});
    const auto before = ids.size();
    for (int iteration = 0; iteration < max_iterations && ids.size() == before; ++iteration) {
      cluster.context.restart();
      cluster.context.run_for(iteration_time);
    }
    REQUIRE(ids.size() == before + 1);
  }

  std::vector<std::string> ids;
  std::vector<net::http_responder> responders;
};

constexpr char key_of_small[] = "key-of-the-small-organisation";

} // namespace

// UNASKED: a request without a key on a public route ran in the name of an organisation whose
// request was in progress at the local server.
TEST_CASE("a request without a key on a public route runs in no organisation's name",
          "[.organisation_key]") {
  organisation_cluster cluster;
  cluster.wait_for_back_daemon();
  held_requests held(cluster);
  held.start(cluster, key_of_large);
  // The id may also look like that of a call of the running request.
  const bool states_parent = GENERATE(false, true);
  constexpr int requests = 24;
  for (int number = 0; number < requests; ++number) {
    auto request = cluster.caller_request("/p/x", "GET", support::milliseconds(500));
    if (states_parent) {
      request.headers[1].value = held.ids.front() + "." + std::to_string(number);
    }
    const auto answer = cluster.send("127.0.0.3", 2, std::move(request));
    INFO("request " << number << ": " << answer.body);
    REQUIRE(answer.status == 200);
    REQUIRE(cluster.latest_field("Tenant") == nullptr);
  }
}

// UNASKED: a call ran in the name of any of the organisations whose requests were in progress.
TEST_CASE("a call that requests of several organisations may have made runs in nobody's name",
          "[.organisation_key]") {
  organisation_cluster cluster;
  cluster.wait_for_back_daemon();
  held_requests held(cluster);
  held.start(cluster, key_of_large);
  held.start(cluster, key_of_small);
  auto call = cluster.caller_request("/f/x", "GET", support::milliseconds(500));
  const auto guessed = cluster.send("127.0.0.3", 2, call);
  INFO(guessed.body);
  REQUIRE(guessed.status == 200);
  CHECK(net::find_field(cluster.front.executed_requests().back().headers, "Tenant") == nullptr);
  call.headers[1].value = held.ids.back() + ".1";
  REQUIRE(cluster.send("127.0.0.3", 2, std::move(call)).status == 200);
  const auto* stated = net::find_field(cluster.front.executed_requests().back().headers, "Tenant");
  REQUIRE(stated != nullptr);
  CHECK(*stated == "small");
}

TEST_CASE("a call of a server runs for the organisation of the request that makes it",
          "[.organisation_key]") {
  organisation_cluster cluster;
  // The id of the call may state the request or not.
  const std::string id_of_call = GENERATE("", "unrelated");
  cluster.back.set_handler(
      [&](const net::http_request& request, const net::http_responder& respond) {
        const auto id = *net::find_field(request.headers, "Request-Id");
        auto inner = cluster.caller_request("/f/x", "GET", support::seconds(1));
        inner.address = {asio::ip::make_address("127.0.0.3"),
                         static_cast<std::uint16_t>(cluster.first_port + 2)};
        inner.headers[1].value = id_of_call.empty() ? id + ".1" : id_of_call;
        cluster.client.send(std::move(inner), [respond, id](const net::client_response& response) {
          const std::uint16_t status = response.status == 200 ? 200 : 500;
          respond({status, {{"Request-Id", id}, {"Server-Stamp", "i-back." + id}}, "", false});
        });
        return true;
      });
  cluster.wait_for_key(key_of_large, 200);
  const auto& calls = cluster.front.executed_requests();
  REQUIRE_FALSE(calls.empty());
  const auto* organisation = net::find_field(calls.back().headers, "Tenant");
  REQUIRE(organisation != nullptr);
  CHECK(*organisation == "Large Org");
}

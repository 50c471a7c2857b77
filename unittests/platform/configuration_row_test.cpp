#include "configuration_row.h"

#include <catch2/catch.hpp>

#include "acaciasill/model/set_aside.h"
#include "acaciasill/model/snapshot.h"
#include "acaciasill/model/validation.h"

using namespace acaciasill;

namespace {

constexpr std::string_view configuration_text =
    R"({"version":"0000000c","routes":{)"
    R"("r-1":{"host":"h1.example","prefix":"/a/","kind":"idempotent","timeout_s":6,)"
    R"("target_latency_s":1.5,"priority":2,)"
    R"("split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"attempts":2},)"
    R"("R_2":{"host":"h1.example","prefix":"/a/b/","kind":"non_idempotent","timeout_s":0.5,)"
    R"("priority":0,"service":"s2","attempts":1}},)"
    R"("services":{"s1":{"health_path":"/health","max_conns":16},"s2":{"health_path":"/up"}},)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_s":3,)"
    R"("idle_timeout_s":15}})";

} // namespace

TEST_CASE("the operator's configuration is converted to a set that compiles") {
  platform::health_paths health;
  auto read = platform::parse_configuration(configuration_text, {"Zone_A", "r", {}}, health);
  REQUIRE(read.ok());
  CHECK(read->version == 12);
  CHECK(read->caller_limits.max_body_bytes == 1000);
  CHECK(read->caller_limits.idle_timeout == support::seconds(15));
  CHECK(health.paths.at("s2") == "/up");
  const auto compiled = model::compile_snapshot(read->set);
  REQUIRE(compiled.ok());
  const auto* split = compiled->find_host_route("h1.example", "/a/x");
  REQUIRE(split != nullptr);
  CHECK(split->targets.size() == 2);
  CHECK(split->idempotent);
  CHECK(split->timeout == support::seconds(6));
  const auto* inner = compiled->find_host_route("h1.example", "/a/b/x");
  REQUIRE(inner != nullptr);
  CHECK_FALSE(inner->idempotent);
  CHECK(inner->attempts == 1);
  CHECK(inner->timeout == support::milliseconds(500));
  CHECK(inner->rank < split->rank);
}

TEST_CASE("an invalid configuration is rejected and leaves the health paths unchanged") {
  platform::health_paths health;
  health.paths.emplace("kept", "/up");
  for (const std::string_view text : {"", "{}", "[]", R"({"version":7})"}) {
    CHECK_FALSE(platform::parse_configuration(text, {"z", "r", {}}, health).ok());
  }
  CHECK(health.paths.count("kept") == 1);
}

TEST_CASE("invalid service names are encoded and stay distinct") {
  CHECK(platform::encode_name("huvo11a") == "huvo11a");
  CHECK(platform::encode_name("A b") != platform::encode_name("A_b"));
  CHECK(platform::encode_name(" ") != platform::encode_name("x20"));
  CHECK(platform::encode_name("x20") != platform::encode_name("x7820"));
  CHECK(platform::encode_name("x ") != platform::encode_name("xx20"));
}

TEST_CASE("organisations of the operator's configuration have keys, ranks and limits") {
  constexpr std::string_view organisations =
      R"(,"tenants":{"Big One":{"api_keys":["k-1","k-2"],"priority":1,"rate_per_s":100,)"
      R"("burst":50},"small":{"api_keys":[]}}})";
  auto text = std::string(configuration_text);
  text.replace(text.rfind('}'), 1, organisations);
  platform::health_paths health;
  const auto read = platform::parse_configuration(text, {"z", "r", {5.0, 0.1, 20.0}}, health);
  REQUIRE(read.ok());
  const auto compiled = model::compile_snapshot(read->set);
  REQUIRE(compiled.ok());
  const auto owner = compiled->find_key_owner("k-2");
  REQUIRE(owner.has_value());
  const auto& big = compiled->organisation(*owner);
  CHECK(platform::platform_organisation(big.name) == "Big One");
  const auto least_important = compiled->find_host_route("h1.example", "/a/x")->rank;
  CHECK(compiled->find_host_route("h1.example", "/a/b/x")->rank < least_important);
  // The organisation's priority comes before that of any route.
  CHECK(big.rank_offset > least_important);
  // No window admits more than the limit with its tolerance.
  CHECK(big.rate_limit >= 100.0);
  CHECK(big.rate_limit * 5.0 + big.burst <= (100.0 * 5.0 + 50.0) * 1.1 + 20.0);
  const auto& small = compiled->organisation(*compiled->find_organisation("small"));
  CHECK(small.rank_offset == 0);
  CHECK(small.rate_limit == 0.0);
  const auto* policy = compiled->find_caller_policy(model::outside_policy_name);
  REQUIRE(policy != nullptr);
  CHECK(policy->policy.requires_key);
  CHECK(platform::platform_organisation(policy->policy.default_organisation).empty());
}

TEST_CASE("encoded names are decoded to the platform's names") {
  for (const auto* name : {"huvo11a", "A b", "x20", "x7820", "xx20", "-", "callers-x61", " "}) {
    CHECK(platform::decode_name(platform::encode_name(name)) == name);
    CHECK(platform::platform_organisation(platform::encode_name(name)) == name);
  }
}

namespace {

constexpr char long_name[] = "BIKE_RESERVATION_WITH_DEPOSIT";

// Returns the configuration with further members of its objects, each with a comma behind it.
std::string with_objects(std::string_view routes, std::string_view services = {},
                         std::string_view tenants = {}) {
  std::string text(configuration_text);
  const auto insert = [&text](std::string_view behind, std::string_view members) {
    text.insert(text.find(behind) + behind.size(), members);
  };
  insert(R"("services":{)", services);
  insert(R"("routes":{)", routes);
  if (!tenants.empty()) {
    text.insert(text.rfind('}'), R"(,"tenants":{)" + std::string(tenants) + "}");
  }
  return text;
}

std::string route_text(const std::string& name, const std::string& prefix,
                       const std::string& rest = R"("service":"s1")") {
  return "\"" + name + R"(":{"host":"h1.example","prefix":")" + prefix +
         R"(","kind":"idempotent","timeout_s":6,)" + rest + "},";
}

struct read_configuration {
  explicit read_configuration(const std::string& text) {
    auto read = platform::parse_configuration(text, {"z", "r", {}}, health);
    REQUIRE(read.ok());
    unreadable = read->unreadable.size();
    set_aside = model::set_aside_invalid_objects(read->set).size();
    auto result = model::compile_snapshot(read->set);
    REQUIRE(result.ok());
    compiled = *std::move(result);
  }

  // Returns the number of targets of the route that matches, or -1 if there is none.
  int targets_of(std::string_view path) const {
    const auto* route = compiled.find_host_route("h1.example", path);
    return route == nullptr ? -1 : static_cast<int>(route->targets.size());
  }

  platform::health_paths health;
  std::size_t unreadable = 0;
  std::size_t set_aside = 0;
  model::snapshot compiled;
};

} // namespace

// CONFIG: a route name of 29 capitals made all daemons reject the whole configuration.
TEST_CASE("names that become long when encoded are in force like others") {
  const std::string name = long_name;
  const read_configuration read(
      with_objects(route_text(name, "/new/", R"("service":")" + name + "\""),
                   "\"" + name + R"(":{"health_path":"/h"},)",
                   "\"" + name + R"(":{"api_keys":["k-1"]},")" + std::string(300, 'T') +
                       R"(":{"api_keys":["k-2"]})"));
  CHECK(read.unreadable == 0);
  CHECK(read.set_aside == 0);
  CHECK(read.targets_of("/new/x") == 1);
  CHECK(read.health.paths.at(platform::encode_name(name)) == "/h");
  for (const auto& [key, owner] : {std::pair("k-1", name), {"k-2", std::string(300, 'T')}}) {
    const auto found = read.compiled.find_key_owner(key);
    REQUIRE(found.has_value());
    CHECK(platform::platform_organisation(read.compiled.organisation(*found).name) == owner);
  }
}

TEST_CASE("long names stay valid and distinct when encoded") {
  const std::string capitals(100, 'A');
  CHECK(platform::encode_name(capitals).size() == model::max_name_size);
  CHECK(platform::encode_name(capitals) == platform::encode_name(capitals));
  CHECK(platform::encode_name(capitals) != platform::encode_name(capitals + "A"));
  // The encoding of a long name is no encoding of another one.
  const auto encoded = platform::encode_name(capitals);
  CHECK(platform::encode_name(encoded) != encoded);
  const std::string longest(model::max_name_size, 'a');
  CHECK(platform::encode_name(longest) == longest);
}

TEST_CASE("an object that cannot be used does not affect the others") {
  SECTION("a route without a service") {
    const read_configuration read(with_objects(route_text("bad", "/a/bad/", R"("priority":1)")));
    CHECK(read.unreadable == 1);
    CHECK(read.targets_of("/a/x") == 2);
    // A shorter prefix must not take the requests of the route.
    CHECK(read.targets_of("/a/bad/x") == 0);
  }
  SECTION("a route to a service that does not exist") {
    const read_configuration read(
        with_objects(route_text("bad", "/a/bad/", R"("service":"nowhere")")));
    CHECK(read.set_aside == 1);
    CHECK(read.targets_of("/a/x") == 2);
    CHECK(read.targets_of("/a/bad/x") == 0);
  }
  SECTION("a route without a prefix, and one with a prefix that no request can have") {
    const read_configuration read(
        with_objects(R"("bad":{"host":"h1.example"},)" + route_text("odd", "/a b/")));
    CHECK(read.unreadable == 1);
    CHECK(read.set_aside == 1);
    CHECK(read.targets_of("/a/x") == 2);
  }
  SECTION("a service and a tenant of another type, and a key that two tenants have") {
    const read_configuration read(
        with_objects("", R"("odd":7,)",
                     R"("a":7,"b":{"api_keys":["k-1","k 2"]},"c":{"api_keys":["k-1","k-3"]})"));
    CHECK(read.unreadable == 2);
    // The key that cannot be sent and the one that has an owner are both reported.
    CHECK(read.set_aside == 2);
    CHECK(read.targets_of("/a/x") == 2);
    CHECK(read.compiled.find_key_owner("k-1") == read.compiled.find_organisation("b"));
    CHECK(read.compiled.find_key_owner("k-3") == read.compiled.find_organisation("c"));
    CHECK_FALSE(read.compiled.find_key_owner("k 2").has_value());
  }
}

TEST_CASE("weights that are no whole numbers keep their proportions") {
  const read_configuration read(with_objects(
      route_text("split", "/s/",
                 R"("split":[{"service":"s1","weight":0.75},{"service":"s2","weight":0.25}])")));
  const auto* route = read.compiled.find_host_route("h1.example", "/s/x");
  REQUIRE(route != nullptr);
  REQUIRE(route->targets.size() == 2);
  const double proportion =
      static_cast<double>(route->targets[0].weight) / static_cast<double>(route->targets[1].weight);
  CHECK(proportion == Approx(3.0).epsilon(1e-5));
}

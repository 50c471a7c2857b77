#include "configuration_row.h"

#include <catch2/catch.hpp>

#include "acaciasill/model/snapshot.h"

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

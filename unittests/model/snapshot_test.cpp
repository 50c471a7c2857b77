#include "acaciasill/model/snapshot.h"

#include <catch2/catch.hpp>

#include "acaciasill/model/embedded_defaults.h"
#include "acaciasill/support/result_code.h"

using namespace acaciasill::model;
using acaciasill::support::code_of;
using acaciasill::support::result_code;

namespace {

snapshot compile_defaults() {
  auto set = embedded_defaults();
  set.generation = 7;
  set.routes.push_back({"front-lookup-write", "front", {"POST"}, "/lookup", "bulk", false, false});
  set.routes.push_back({"front-lookup-deep", "front", {}, "/lookup/deep", "normal", true, false});
  return compile_snapshot(set).value();
}

std::string route_name(const snapshot& compiled, const call_classification& facts) {
  return facts.route ? compiled.set().routes[*facts.route].name : "none";
}

} // namespace

TEST_CASE("lookups find configured names and no others") {
  const auto compiled = compile_defaults();
  CHECK(compiled.generation() == 7);
  const auto front = compiled.find_service("front");
  REQUIRE(front.has_value());
  CHECK(compiled.service(*front).name == "front");
  CHECK(compiled.service(*front).slots == 100);
  CHECK(compiled.service(*front).reachable.size() == 3);
  CHECK_FALSE(compiled.find_service("fron").has_value());
  CHECK_FALSE(compiled.find_service("").has_value());
  const auto large = compiled.find_organisation("large");
  REQUIRE(large.has_value());
  CHECK(compiled.organisation(*large).guaranteed_share == 0.5);
  CHECK(compiled.find_rank("bulk") == 5);
  CHECK_FALSE(compiled.find_rank("none").has_value());
  const auto* outside = compiled.find_caller_policy(outside_policy_name);
  REQUIRE(outside != nullptr);
  CHECK(outside->default_organisation == compiled.find_organisation("small"));
}

TEST_CASE("the most specific route classifies a call") {
  const auto compiled = compile_defaults();
  const auto front = *compiled.find_service("front");
  const auto classify = [&](std::string_view method, std::string_view path) {
    return compiled.classify(front, method, path);
  };
  CHECK(route_name(compiled, classify("GET", "/lookup")) == "front-lookup");
  CHECK(route_name(compiled, classify("GET", "/lookup?a=/b")) == "front-lookup");
  CHECK(route_name(compiled, classify("POST", "/lookup/x")) == "front-lookup-write");
  CHECK(route_name(compiled, classify("POST", "/lookup/deep/x")) == "front-lookup-deep");
  CHECK(route_name(compiled, classify("GET", "/lookups")) == "none");
  CHECK(classify("GET", "/lookup").rank == 0);
  CHECK(classify("POST", "/reserve/7") ==
        call_classification{classify("POST", "/reserve").route, 2, false, true});
}

TEST_CASE("a call that matches no route is idempotent only if its HTTP method is") {
  const auto compiled = compile_defaults();
  const auto deep = *compiled.find_service("deep");
  CHECK(compiled.classify(deep, "GET", "/x") == call_classification{std::nullopt, 2, true, false});
  CHECK(compiled.classify(deep, "PUT", "").idempotent);
  CHECK_FALSE(compiled.classify(deep, "POST", "/x").idempotent);
  CHECK_FALSE(compiled.classify(deep, "BREW", "/x").idempotent);
}

TEST_CASE("compiling an invalid set fails with the code of its finding") {
  auto set = embedded_defaults();
  set.services[0].limits = "none";
  CHECK(code_of(compile_snapshot(set).status()) == result_code::unknown_reference);
}

TEST_CASE("each of more than 740 services is found at its index") {
  auto set = embedded_defaults();
  for (int i = 0; i < 740; ++i) {
    service each = set.services[0];
    each.name = "s" + std::to_string(i);
    each.calls.clear();
    set.services.push_back(each);
  }
  const auto compiled = compile_snapshot(set).value();
  for (service_index i = 0; i < compiled.services().size(); ++i) {
    CHECK(compiled.find_service(compiled.service(i).name) == i);
  }
}

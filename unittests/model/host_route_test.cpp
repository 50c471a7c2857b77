#include <catch2/catch.hpp>

#include "acaciasill/model/embedded_defaults.h"
#include "acaciasill/model/snapshot.h"
#include "acaciasill/model/validation.h"
#include "acaciasill/support/result_code.h"

using namespace acaciasill::model;
using acaciasill::support::result_code;

namespace {

host_route make_route(const std::string& name, const std::string& host, const std::string& prefix,
                      std::vector<std::string> targets = {}) {
  const auto set = embedded_defaults();
  host_route result;
  result.name = name;
  result.host = host;
  result.path_prefix = prefix;
  result.targets = targets.empty() ? std::vector{set.services.front().name} : std::move(targets);
  result.priority = set.priorities.front().name;
  return result;
}

configuration make_set(std::vector<host_route> routes) {
  auto set = embedded_defaults();
  set.host_routes = std::move(routes);
  normalise(set);
  return set;
}

result_code first_finding(std::vector<host_route> routes) {
  const auto findings = validate(make_set(std::move(routes)), {}, "set");
  return findings.empty() ? result_code::ok : findings.front().code;
}

const compiled_host_route* find(const snapshot& set, std::string_view host, std::string_view path) {
  return set.find_host_route(host, path);
}

} // namespace

TEST_CASE("the host route with the longest matching prefix is used") {
  const auto set =
      compile_snapshot(make_set({make_route("a", "one", "/"), make_route("b", "one", "/x/"),
                                 make_route("c", "one", "/x/y/"), make_route("d", "two", "/x/")}));
  REQUIRE(set.ok());
  const auto name = [&](std::string_view host, std::string_view path) {
    const auto* found = find(*set, host, path);
    return found == nullptr ? "" : set->set().host_routes[found->index].name;
  };
  CHECK(name("one", "/x/y/z") == "c");
  CHECK(name("one", "/x/y/") == "c");
  CHECK(name("one", "/x/y") == "b");
  CHECK(name("one", "/xy/z") == "a");
  CHECK(name("one", "/x?/x/y/") == "a");
  CHECK(name("two", "/x/1") == "d");
  CHECK(name("two", "/y") == "");
  CHECK(name("three", "/x/1") == "");
}

TEST_CASE("host routes with the same host and prefix are duplicates") {
  CHECK(first_finding({make_route("a", "one", "/x/"), make_route("b", "one", "/y/"),
                       make_route("c", "two", "/x/")}) == result_code::ok);
  CHECK(first_finding({make_route("a", "one", "/x/"), make_route("b", "one", "/x/")}) ==
        result_code::unreachable_route);
}

TEST_CASE("the fields of host routes are validated") {
  CHECK(first_finding({make_route("a", "one", "x/")}) == result_code::out_of_range);
  CHECK(first_finding({make_route("a", "one", "/x")}) == result_code::out_of_range);
  CHECK(first_finding({make_route("a", "", "/")}) == result_code::out_of_range);
  CHECK(first_finding({make_route("a", "one", "/", {"nobody"})}) == result_code::unknown_reference);
  const auto service = embedded_defaults().services.front().name;
  CHECK(first_finding({make_route("a", "one", "/", {service + "=-1"})}) ==
        result_code::out_of_range);
  CHECK(first_finding({make_route("a", "one", "/", {service + "=0"})}) ==
        result_code::unreachable_route);
}

TEST_CASE("a target with weight 0 receives no requests") {
  const auto services = embedded_defaults().services;
  REQUIRE(services.size() >= 2);
  const auto set = compile_snapshot(
      make_set({make_route("a", "one", "/", {services[0].name + "=0", services[1].name + "=7"})}));
  REQUIRE(set.ok());
  const auto* found = find(*set, "one", "/");
  REQUIRE(found != nullptr);
  REQUIRE(found->targets.size() == 1);
  CHECK(set->service(found->targets.front().service).name == services[1].name);
}

#include "acaciasill/model/set_aside.h"

#include <catch2/catch.hpp>

#include "acaciasill/model/configuration_set.h"
#include "acaciasill/model/embedded_defaults.h"
#include "acaciasill/model/snapshot.h"

using namespace acaciasill::model;

namespace {

host_route make_route(const configuration& set, const std::string& name,
                      const std::string& prefix) {
  host_route result;
  result.name = name;
  result.host = "one";
  result.path_prefix = prefix;
  result.targets = {set.services.front().name};
  result.priority = set.priorities.front().name;
  return result;
}

} // namespace

TEST_CASE("a valid set is left as it is") {
  auto set = embedded_defaults();
  normalise(set);
  const auto before = set;
  CHECK(set_aside_invalid_objects(set).empty());
  CHECK(set == before);
}

TEST_CASE("an invalid object is set aside and what refers to it as well") {
  auto set = embedded_defaults();
  auto bad_service = set.services.front();
  bad_service.name = "Not A Name";
  set.services.push_back(bad_service);
  set.host_routes = {make_route(set, "a", "/"), make_route(set, "b", "/b/"),
                     make_route(set, "c", "/b/")};
  set.host_routes[1].targets = {bad_service.name};
  CHECK_FALSE(set_aside_invalid_objects(set).empty());
  const auto compiled = compile_snapshot(set);
  REQUIRE(compiled.ok());
  CHECK(compiled->find_host_route("one", "/x")->targets.size() == 1);
  // The first of two routes with the same prefix counts.
  CHECK(compiled->find_host_route("one", "/b/x")->targets.empty());
  CHECK_FALSE(compiled->find_service(bad_service.name).has_value());
}

TEST_CASE("a set without a required object stays invalid") {
  configuration set;
  set_aside_invalid_objects(set);
  CHECK_FALSE(compile_snapshot(set).ok());
}

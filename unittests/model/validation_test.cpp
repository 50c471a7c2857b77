#include "acaciasill/model/validation.h"

#include <catch2/catch.hpp>

#include "acaciasill/model/embedded_defaults.h"

using namespace acaciasill::model;

namespace {

// Returns the formatted findings for the embedded defaults together with additional YAML text.
std::vector<std::string> check(const std::string& more) {
  loaded_set loaded;
  std::vector<finding> findings;
  load_text("defaults", std::string(embedded_defaults_yaml()), loaded, findings);
  load_text("more", more, loaded, findings);
  normalise(loaded.set);
  const auto set_findings = validate(loaded.set, loaded.sources, "set");
  findings.insert(findings.end(), set_findings.begin(), set_findings.end());
  std::vector<std::string> lines;
  for (const auto& problem : findings) {
    lines.push_back(format_finding(problem));
  }
  return lines;
}

using lines = std::vector<std::string>;

} // namespace

TEST_CASE("the embedded defaults are valid") {
  CHECK(check("") == lines{});
  CHECK(embedded_defaults().services.size() == 3);
}

TEST_CASE("findings about fields and kinds have line numbers") {
  CHECK(check("kind: service\nname: a\nslots: 0\nlimits: usual\ndefault_priority: bulk\n"
              "---\nkind: thing\nname: b\n---\nname: c\n---\n[]\n") ==
        lines{"more:3: service a: slots: ACS-1005 a value is out of its range: from 1 to 100000",
              "more:7: kind: ACS-1011 the kind of an object is not known: thing",
              "more:10: object c: kind: ACS-1006 a required key is missing",
              "more:12: ACS-1004 a value has the wrong type: a mapping is expected",
              "more:12: kind: ACS-1006 a required key is missing"});
}

TEST_CASE("references to missing objects are reported") {
  CHECK(check("kind: service\nname: a\nlimits: none\ndefault_priority: none\ncalls: [none]\n") ==
        lines{"more:3: service a: limits: ACS-1012 an object refers to one that does not exist: "
              "none",
              "more:4: service a: default_priority: ACS-1012 an object refers to one that does "
              "not exist: none",
              "more:5: service a: calls: ACS-1012 an object refers to one that does not exist: "
              "none"});
}

TEST_CASE("names must be unique within a kind and use only allowed characters") {
  CHECK(check("kind: priority\nname: bulk\nrank: 7\n") ==
        lines{"more:2: priority bulk: name: ACS-1010 two objects of one kind have the same name: "
              "bulk"});
  CHECK(check("kind: data_centre\nname: A b\nregion: x\n") ==
        lines{"more:2: data_centre A b: name: ACS-1005 a value is out of its range: up to 63 "
              "characters of a-z, 0-9 and -, not starting with -"});
}

TEST_CASE("priority ranks must be unique") {
  CHECK(
      check("kind: priority\nname: copy\nrank: 2\n") ==
      lines{"defaults:21: priority normal: rank: ACS-1015 two priority classes have the same rank: "
            "rank 2 is already used by copy"});
}

TEST_CASE("guaranteed shares add up to at most one and amount to at least one slot each") {
  CHECK(check("kind: organisation\nname: third\nguaranteed_share: 0.3\n") == lines{});
  CHECK(check("kind: organisation\nname: third\nguaranteed_share: 0.4\n") ==
        lines{"more:3: organisation third: guaranteed_share: ACS-1013 the guaranteed shares add up "
              "to more than one: the sum is 1.1 including this organisation"});
  CHECK(check("kind: organisation\nname: third\nguaranteed_share: 0.02\n") ==
        lines{"defaults:50: service deep: slots: ACS-1014 limits and shares do not fit the slots: "
              "the share of third is 0.6 slots in a data centre, less than one"});
}

TEST_CASE("a service needs at least as many connections as slots") {
  CHECK(check("kind: service\nname: a\nlimits: usual\ndefault_priority: bulk\nslots: 9\n"
              "connections: 8\n") ==
        lines{"more:6: service a: connections: ACS-1014 limits and shares do not fit the slots: 9 "
              "slots need at least as many connections"});
}

TEST_CASE("queue limits must be consistent with each other and with the deadline") {
  CHECK(check("kind: limits\nname: odd\nqueue_bound_ms: 100\nqueue_target_ms: 200\n"
              "default_deadline_ms: 100\n")
            .size() == 2);
}

TEST_CASE("cycles of calls and chains over the depth limit are reported") {
  const std::string usual = "limits: usual\ndefault_priority: bulk\n";
  CHECK(check("kind: service\nname: a\n" + usual + "calls: [b]\n---\nkind: service\nname: b\n" +
              usual + "calls: [front, a]\n") ==
        lines{"more:11: service b: calls: ACS-1016 services call each other in a circle: a -> b -> "
              "a"});
  std::string chain;
  for (int i = 0; i < 9; ++i) {
    chain += "---\nkind: service\nname: s" + std::to_string(i) + "\n" + usual + "calls: [" +
             (i == 0 ? std::string("front") : "s" + std::to_string(i - 1)) + "]\n";
  }
  const auto found = check(chain);
  REQUIRE(found.size() == 1);
  CHECK(found[0].find("service s8: calls: ACS-1017 a chain of calls is too deep: 12 services, at "
                      "most 11: s8 s7") != std::string::npos);
}

TEST_CASE("unreachable routes are reported") {
  const std::string head = "kind: route\nservice: front\npriority: bulk\nidempotent: true\n";
  CHECK(check(head + "name: zz\npath_prefix: /browse\n") ==
        lines{"more:6: route zz: path_prefix: ACS-1018 no call can reach the route: every method "
              "of /browse is already matched by route front-browse"});
  CHECK(check(head + "name: zz\npath_prefix: /reserve\nmethods: [POST, GET]\n").size() == 1);
  CHECK(check(head + "name: zz\npath_prefix: /browse\nmethods: [GET]\n") == lines{});
  CHECK(check(head + "name: zz\npath_prefix: /browse\n"
                     "methods: [GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS]\n") ==
        lines{"defaults:63: route front-browse: path_prefix: ACS-1018 no call can reach the route: "
              "other routes list every method for this prefix"});
}

TEST_CASE("the fields of routes are validated") {
  CHECK(check("kind: route\nname: zz\nservice: front\npriority: bulk\nidempotent: true\n"
              "claim_key: true\npath_prefix: x?\nmethods: [get]\n")
            .size() == 3);
  CHECK(check("kind: route\nname: zz\nservice: front\npriority: bulk\npath_prefix: /zz\n") ==
        lines{"more:1: route zz: idempotent: ACS-1006 a required key is missing"});
}

TEST_CASE("an empty set has a finding for each required kind") {
  CHECK(validate({}, {}, "set").size() == 5);
}

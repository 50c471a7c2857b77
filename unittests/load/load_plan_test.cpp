#include "acaciasill/net/load_plan.h"

#include <catch2/catch.hpp>

using namespace acaciasill;
using namespace acaciasill::net;

namespace {

// Reads a plan from YAML text and returns the findings.
std::vector<model::finding> read(const std::string& text, load_plan& plan) {
  std::vector<model::finding> findings;
  const auto documents = model::parse_yaml("plan.yaml", text, findings);
  REQUIRE(findings.empty());
  REQUIRE(documents.size() == 1);
  model::settings_reader reader("plan.yaml", documents[0]);
  read_load_plan(reader, plan);
  return reader.finish();
}

} // namespace

TEST_CASE("a plan is read with its phases, rates and faults") {
  load_plan plan;
  const auto findings = read("targets: [127.0.0.1:1]\n"
                             "spacing: uniform\n"
                             "classes: [{name: browse, rate: 5, deadline_ms: 300}]\n"
                             "phases:\n"
                             "  - {name: a, length_ms: 1000}\n"
                             "  - {name: b, length_ms: 500, rates: [{class: browse, rate: 9}]}\n"
                             "faults: [{at_ms: 10, signal: stop, pid: 5}]\n",
                             plan);
  CHECK(findings.empty());
  CHECK(plan.spacing == arrival_spacing::uniform);
  CHECK(plan.classes.at(0).deadline == support::milliseconds(300));
  CHECK(plan.phases.at(1).rates.at(0) == class_rate{"browse", 9.0});
  CHECK(plan.faults.at(0).signal == fault_signal::stop);
  CHECK(total_length(plan) == support::milliseconds(1500));
}

TEST_CASE("all errors of a plan are reported") {
  load_plan plan;
  const auto findings = read("targets: [127.0.0.1:1]\n"
                             "colour: red\n"
                             "classes: [{name: browse, rate: -5}]\n"
                             "phases: [{name: a, length_ms: 10, rates: [{class: x, rate: 1}]}]\n"
                             "faults: [{at_ms: 10, signal: kill}]\n",
                             plan);
  CHECK(findings.size() == 4);
}

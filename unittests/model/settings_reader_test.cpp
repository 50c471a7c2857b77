#include "acaciasill/model/settings_reader.h"

#include <catch2/catch.hpp>

using namespace acaciasill::model;
using acaciasill::support::milliseconds;
using acaciasill::support::result_code;

namespace {

struct sample_settings {
  std::string name = "default";
  int threads = 2;
  double ratio = 0.5;
  bool json = false;
  milliseconds bound{50};
  std::vector<std::string> seeds;
};

std::vector<finding> read_sample(const std::string& text, sample_settings& settings) {
  std::vector<finding> findings;
  const auto documents = parse_yaml("a.yaml", text, findings);
  if (!findings.empty()) {
    return findings;
  }
  settings_reader reader("a.yaml", documents.at(0));
  reader.text("name", settings.name, presence::required);
  reader.integer("threads", settings.threads, 1, 64);
  reader.number("ratio", settings.ratio, 0.0, 1.0);
  reader.flag("json", settings.json);
  reader.time_span("bound_ms", settings.bound, milliseconds(1), milliseconds(1000));
  reader.text_list("seeds", settings.seeds);
  return reader.finish();
}

std::vector<std::string> format_findings(const std::vector<finding>& findings) {
  std::vector<std::string> lines;
  for (const auto& problem : findings) {
    lines.push_back(format_finding(problem));
  }
  return lines;
}

} // namespace

TEST_CASE("a valid mapping sets all fields") {
  sample_settings settings;
  const auto findings = read_sample("name: a\nthreads: 4\nratio: 0.25\njson: true\nbound_ms: 70\n"
                                    "seeds: [x, y]\n",
                                    settings);
  CHECK(format_findings(findings).empty());
  CHECK(settings.name == "a");
  CHECK(settings.threads == 4);
  CHECK(settings.ratio == 0.25);
  CHECK(settings.json);
  CHECK(settings.bound == milliseconds(70));
  CHECK(settings.seeds == std::vector<std::string>{"x", "y"});
}

TEST_CASE("all problems of a mapping are reported at once") {
  sample_settings settings;
  const auto findings = read_sample(
      "threads: many\nratio: 2\nwrong: 1\njson: 1\nratio: 0.1\nseeds: [[a]]\n", settings);
  CHECK(format_findings(findings) ==
        std::vector<std::string>{
            "a.yaml:1: name: ACS-1006 a required key is missing",
            "a.yaml:1: threads: ACS-1004 a value has the wrong type: an integer is expected",
            "a.yaml:2: ratio: ACS-1005 a value is out of its range: from 0 to 1",
            "a.yaml:3: wrong: ACS-1003 a key is not known",
            "a.yaml:4: json: ACS-1004 a value has the wrong type: true or false is expected",
            "a.yaml:5: ratio: ACS-1007 a key is given twice",
            "a.yaml:6: seeds: ACS-1004 a value has the wrong type: a list of strings is expected",
        });
  CHECK(settings.threads == 2);
}

TEST_CASE("malformed and oversized YAML is rejected") {
  sample_settings settings;
  CHECK(format_findings(read_sample("a: [1, 2\nb", settings)).size() == 1);
  CHECK(read_sample("a: &x [1]\nb: *x\n", settings).at(0).line == 1);
  const auto deep = read_sample(std::string(100, '['), settings);
  REQUIRE(deep.size() == 1);
  CHECK(deep.at(0).code == result_code::bad_yaml);
  CHECK(deep.at(0).text == "nested deeper than 16 levels");
  CHECK(read_sample(std::string(max_yaml_bytes + 1, 'a'), settings).size() == 1);
  CHECK(read_sample("- a\n", settings).at(0).code == result_code::wrong_type);
}

TEST_CASE("an unreadable settings file gives one finding") {
  const auto findings = read_settings_file("/nowhere/a.yaml", [](settings_reader&) {});
  CHECK(format_findings(findings) ==
        std::vector<std::string>{"/nowhere/a.yaml: ACS-1001 a file cannot be read"});
}

#include "acaciasill/net/load_results.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "acaciasill/net/load_report.h"

using namespace acaciasill;
using namespace acaciasill::net;
using support::milliseconds;

TEST_CASE("the recovery time starts at the end of the fault") {
  std::vector<std::uint32_t> useful(100, 100);
  for (std::size_t window = 30; window < 57; ++window) {
    useful[window] = 10;
  }
  const recovery_spans spans{milliseconds(1000), milliseconds(3000), milliseconds(5000)};
  CHECK(recovery_time(useful, spans) == milliseconds(700));
  useful.assign(100, 100);
  CHECK(recovery_time(useful, spans) == milliseconds(0));
}

TEST_CASE("there is no recovery time if goodput stays below the threshold") {
  std::vector<std::uint32_t> useful(100, 94);
  for (std::size_t window = 0; window < 30; ++window) {
    useful[window] = 100;
  }
  const recovery_spans spans{milliseconds(1000), milliseconds(3000), milliseconds(5000)};
  CHECK_FALSE(recovery_time(useful, spans).has_value());
  CHECK_FALSE(recovery_time({}, spans).has_value());
}

TEST_CASE("results are printed by class and phase and formatted as a page") {
  load_plan plan;
  plan.classes.resize(1);
  plan.classes[0].name = "a<b";
  plan.phases = {{"only", milliseconds(1000), {}}};
  load_results results(plan);
  results.add_offered(0, 0, milliseconds(150));
  results.add_offered(0, 0, milliseconds(250));
  results.add_useful(0, 0, milliseconds(150), milliseconds(350));
  ++results.tally(0, 0).count(call_result::not_run);
  const auto text = format_results(plan, results);
  const auto first = nlohmann::json::parse(text.substr(0, text.find('\n')));
  CHECK(first["offered"] == 2);
  CHECK(first["useful"] == 1);
  CHECK(first["not_run"] == 1);
  CHECK(first["latency_ms"]["max"] == 200.0);
  const auto page = format_report({{"before", text}, {"after", text}});
  REQUIRE(page.ok());
  CHECK(page->find("a&lt;b") != std::string::npos);
  CHECK(page->find("a<b") == std::string::npos);
  CHECK_FALSE(format_report({{"bad", "no results"}}).ok());
}

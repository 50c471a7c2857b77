#include <catch2/catch.hpp>

#include "acaciasill/model/configuration_set.h"
#include "acaciasill/model/snapshot.h"

using namespace acaciasill::model;

namespace {

snapshot compile_example(const std::string& name) {
  std::vector<finding> findings;
  const auto loaded = load_directory(std::string(ACS_SOURCE_DIR) + "/examples/" + name, findings);
  for (const auto& problem : findings) {
    FAIL_CHECK(format_finding(problem));
  }
  return compile_snapshot(loaded.set).value();
}

// Returns the largest weight of an organisation and the sum of all other weights.
std::pair<double, double> largest_and_other_weights(const snapshot& compiled) {
  double largest = 0.0;
  double sum = 0.0;
  for (const auto& each : compiled.organisations()) {
    largest = std::max(largest, each.weight);
    sum += each.weight;
  }
  return {largest, sum - largest};
}

call_classification classify(const snapshot& compiled, std::string_view service,
                             std::string_view method, std::string_view path) {
  return compiled.classify(compiled.find_service(service).value(), method, path);
}

} // namespace

TEST_CASE("the Kwaeso example is valid and matches the sizes of its deployment") {
  const auto compiled = compile_example("kwaeso");
  CHECK(compiled.set().data_centres.size() == 3);
  CHECK(compiled.services().size() == 4);
  for (const auto& each : compiled.services()) {
    CHECK(each.expected_upstreams == 1);
    CHECK(each.slots == (each.name == "pricing" ? 30 : 100));
    CHECK(each.connections == (each.name == "pricing" ? 300 : 750));
  }
  const auto [largest, others] = largest_and_other_weights(compiled);
  CHECK(largest > others);
  CHECK(classify(compiled, "catalogue", "GET", "/stock/7").rank <
        classify(compiled, "catalogue", "GET", "/browse").rank);
  CHECK(classify(compiled, "reservations", "POST", "/reservations").claim_key);
  CHECK_FALSE(classify(compiled, "reservations", "POST", "/deposits").idempotent);
}

TEST_CASE("the Moreton Bay example is valid and matches the sizes of its deployment") {
  const auto compiled = compile_example("moreton-bay");
  CHECK(compiled.set().data_centres.size() == 3);
  CHECK(compiled.services().size() == 4);
  for (const auto& each : compiled.services()) {
    CHECK(each.slots == (each.name == "crisis-placement" ? 25 : 200));
    CHECK(each.connections == (each.name == "crisis-placement" ? 250 : 1500));
  }
  const auto [largest, others] = largest_and_other_weights(compiled);
  CHECK(largest > others);
  CHECK(classify(compiled, "crisis-placement", "GET", "/rooms").rank == 0);
  CHECK(classify(compiled, "listings", "GET", "/browse").rank == 6);
  CHECK(classify(compiled, "bonds", "POST", "/lodgements").claim_key);
}

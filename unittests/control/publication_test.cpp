#include "acaciasill/control/publication.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "publication_simulation.h"

using namespace acaciasill::control;
using acaciasill::support::milliseconds;
using acaciasill::support::result_code;

namespace {

publication_plan make_plan(const std::string& name) {
  publication_plan plan;
  plan.bytes = "set of " + name;
  plan.token = "token-" + name;
  plan.source_revision = "r1";
  return plan;
}

// Number of fault bits; bit n is the n-th member of platform_faults.
constexpr int fault_count = 7;

platform_faults make_faults(unsigned bits) {
  const auto on = [bits](unsigned bit) { return (bits & (1U << bit)) != 0; };
  return {on(0), on(1), on(2), on(3), on(4), on(5), on(6)};
}

// Runs two to five publishers that start within 300 ms of each other and returns the oracle's
// finding. At least one has to succeed, since no fault lasts as long as a publication retries.
std::string run_race(std::uint64_t seed, unsigned fault_bits, publisher_defect defect) {
  publication_simulation simulation(seed, make_faults(fault_bits), defect);
  acaciasill::support::random_source random(seed);
  const auto count = 2 + acaciasill::support::uniform_below(random, 4);
  for (std::uint64_t i = 0; i < count; ++i) {
    const auto start = acaciasill::support::uniform_below(random, 300);
    simulation.add_publisher(make_plan(std::to_string(i)), milliseconds(start));
  }
  simulation.run();
  if (simulation.head_writes() == 0) {
    return "no publication succeeded";
  }
  return simulation.check_invariants();
}

// Returns the first seed for which the oracle detects the defect, or nullopt if none does.
std::optional<std::uint64_t> first_detecting_seed(unsigned fault_bits, publisher_defect defect) {
  constexpr std::uint64_t max_cases = 200;
  for (std::uint64_t seed = 1; seed <= max_cases; ++seed) {
    if (!run_race(seed, fault_bits, defect).empty()) {
      return seed;
    }
  }
  return std::nullopt;
}

publication_finished run_without_violation(publication_simulation& simulation) {
  simulation.run();
  CHECK(simulation.check_invariants().empty());
  return simulation.publishers().back().result.value();
}

} // namespace

TEST_CASE("generations increase by one and each has a history row") {
  publication_simulation simulation(1, {}, publisher_defect::none);
  simulation.add_publisher(make_plan("a"), milliseconds(0));
  simulation.add_publisher(make_plan("b"), milliseconds(1000));
  const auto result = run_without_violation(simulation);
  CHECK(result.code == result_code::ok);
  CHECK(result.head.generation == 2);
  CHECK(result.head.previous_digest == simulation.publishers()[0].result->head.digest);
  CHECK(simulation.rows().contains("history/000000000001"));
  CHECK(simulation.rows().at("head/configuration").value == encode_configuration_head(result.head));
}

TEST_CASE("publishing is idempotent") {
  publication_simulation simulation(1, {}, publisher_defect::none);
  simulation.add_publisher(make_plan("a"), milliseconds(0));
  simulation.add_publisher(make_plan("a"), milliseconds(1000));
  auto other_token = make_plan("a");
  other_token.token = "other";
  simulation.add_publisher(other_token, milliseconds(2000));
  const auto result = run_without_violation(simulation);
  CHECK(result.code == result_code::ok);
  CHECK_FALSE(result.changed);
  CHECK(simulation.head_writes() == 1);
}

TEST_CASE("a token used before is found in the history behind later generations") {
  publication_simulation simulation(1, {}, publisher_defect::none);
  simulation.add_publisher(make_plan("first"), milliseconds(0));
  for (int i = 0; i < 120; ++i) {
    simulation.add_publisher(make_plan(std::to_string(i)), milliseconds(1000 * (i + 1)));
  }
  auto again = make_plan("first");
  again.reuses_token = true;
  simulation.add_publisher(again, milliseconds(500000));
  const auto result = run_without_violation(simulation);
  CHECK(result.code == result_code::ok);
  CHECK(result.head.generation == 1);
  CHECK(simulation.head_writes() == 121);
}

TEST_CASE("a token cannot be reused for another set") {
  publication_simulation simulation(1, {}, publisher_defect::none);
  simulation.add_publisher(make_plan("a"), milliseconds(0));
  auto other = make_plan("b");
  other.token = "token-a";
  simulation.add_publisher(other, milliseconds(1000));
  simulation.run();
  CHECK(simulation.publishers()[1].result->code == result_code::publish_conflict);
  CHECK(simulation.head_writes() == 1);
}

TEST_CASE("an unexpected generation is a conflict") {
  publication_simulation simulation(1, {}, publisher_defect::none);
  simulation.add_publisher(make_plan("a"), milliseconds(0));
  auto late = make_plan("b");
  late.expected_generation = 0;
  simulation.add_publisher(late, milliseconds(1000));
  const auto result = run_without_violation(simulation);
  CHECK(result.code == result_code::publish_conflict);
  CHECK(result.head.generation == 1);
}

TEST_CASE("one of several concurrent publications succeeds and the others conflict") {
  publication_simulation simulation(1, {}, publisher_defect::none);
  for (int i = 0; i < 5; ++i) {
    auto plan = make_plan(std::to_string(i));
    plan.expected_generation = 0;
    simulation.add_publisher(plan, milliseconds(0));
  }
  simulation.run();
  CHECK(simulation.check_invariants().empty());
  CHECK(simulation.head_writes() == 1);
  int winners = 0;
  for (const auto& each : simulation.publishers()) {
    winners += each.result->code == result_code::ok ? 1 : 0;
    CHECK((each.result->code == result_code::ok ||
           each.result->code == result_code::publish_conflict));
  }
  CHECK(winners == 1);
}

TEST_CASE("an outage longer than the publication leaves the head unchanged") {
  publication_simulation simulation(1, {.outage = true}, publisher_defect::none);
  auto plan = make_plan("a");
  plan.total_timeout = milliseconds(800);
  simulation.add_publisher(plan, milliseconds(150));
  CHECK(run_without_violation(simulation).code == result_code::platform_unavailable);
  CHECK(simulation.head_writes() == 0);
}

TEST_CASE("an outage that ends before the timeout only delays a publication") {
  publication_simulation simulation(1, {.outage = true}, publisher_defect::none);
  simulation.add_publisher(make_plan("a"), milliseconds(150));
  CHECK(run_without_violation(simulation).code == result_code::ok);
}

TEST_CASE("the invariants hold under each fault and each pair of faults") {
  for (unsigned first = 0; first < fault_count; ++first) {
    for (unsigned second = first; second < fault_count; ++second) {
      for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        const auto violation =
            run_race(seed, (1U << first) | (1U << second), publisher_defect::none);
        INFO("faults " << first << " and " << second << ", seed " << seed);
        REQUIRE(violation == "");
      }
    }
  }
}

TEST_CASE("the invariants hold under any combination of faults") {
  CHECK(rc::check("racing publishers", [](std::uint64_t seed) {
    const auto bits = *rc::gen::inRange(0U, 1U << fault_count);
    RC_ASSERT(run_race(seed, bits, publisher_defect::none) == "");
  }));
}

TEST_CASE("the oracle detects publishers with an injected defect") {
  constexpr unsigned no_fault = 0;
  constexpr unsigned lost_after = 1U << 2;
  constexpr unsigned false_success = 1U << 6;
  const auto found_by_versions = first_detecting_seed(no_fault, publisher_defect::ignores_versions);
  const auto found_by_unknown =
      first_detecting_seed(lost_after, publisher_defect::unknown_is_refused);
  const auto found_by_done = first_detecting_seed(false_success, publisher_defect::trusts_done);
  CHECK(found_by_versions.value_or(0) == 2);
  CHECK(found_by_unknown.value_or(0) == 1);
  CHECK(found_by_done.value_or(0) == 1);
}

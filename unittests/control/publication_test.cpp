#include "acaciasill/control/publication.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "publication_world.h"

using namespace acaciasill::control;
using acaciasill::support::milliseconds;
using acaciasill::support::result_code;

namespace {

publication_plan plan_of(const std::string& name) {
  publication_plan plan;
  plan.bytes = "set of " + name;
  plan.token = "token-" + name;
  plan.source_revision = "r1";
  return plan;
}

// The faults in the order of their bits.
constexpr int fault_count = 7;

platform_faults faults_of(unsigned bits) {
  const auto on = [bits](unsigned bit) { return (bits & (1U << bit)) != 0; };
  return {on(0), on(1), on(2), on(3), on(4), on(5), on(6)};
}

// Two to five publishers that start within 300 ms of each other, judged by the oracle. At least one
// has to succeed, since no fault lasts as long as a publication tries.
std::string judge_race(std::uint64_t seed, unsigned fault_bits, publisher_defect defect) {
  publication_world world(seed, faults_of(fault_bits), defect);
  acaciasill::support::random_source random(seed);
  const auto count = 2 + acaciasill::support::uniform_below(random, 4);
  for (std::uint64_t i = 0; i < count; ++i) {
    const auto start = acaciasill::support::uniform_below(random, 300);
    world.add_publisher(plan_of(std::to_string(i)), milliseconds(start));
  }
  world.run();
  if (world.head_writes() == 0) {
    return "nobody published";
  }
  return world.judge();
}

// How many seeds it takes until the oracle finds the defect; nothing within the bound.
std::optional<std::uint64_t> cases_until_found(unsigned fault_bits, publisher_defect defect) {
  constexpr std::uint64_t max_cases = 200;
  for (std::uint64_t seed = 1; seed <= max_cases; ++seed) {
    if (!judge_race(seed, fault_bits, defect).empty()) {
      return seed;
    }
  }
  return std::nullopt;
}

publication_finished run_alone(publication_world& world) {
  world.run();
  CHECK(world.judge().empty());
  return world.publishers().back().result.value();
}

} // namespace

TEST_CASE("generations rise by one and the history keeps each") {
  publication_world world(1, {}, publisher_defect::none);
  world.add_publisher(plan_of("a"), milliseconds(0));
  world.add_publisher(plan_of("b"), milliseconds(1000));
  const auto result = run_alone(world);
  CHECK(result.code == result_code::ok);
  CHECK(result.head.generation == 2);
  CHECK(result.head.previous_digest == world.publishers()[0].result->head.digest);
  CHECK(world.rows().contains("history/000000000001"));
  CHECK(world.rows().at("head/configuration").value == encode_configuration_head(result.head));
}

TEST_CASE("publishing the same again is harmless") {
  publication_world world(1, {}, publisher_defect::none);
  world.add_publisher(plan_of("a"), milliseconds(0));
  world.add_publisher(plan_of("a"), milliseconds(1000));
  auto other_token = plan_of("a");
  other_token.token = "other";
  world.add_publisher(other_token, milliseconds(2000));
  const auto result = run_alone(world);
  CHECK(result.code == result_code::ok);
  CHECK_FALSE(result.changed);
  CHECK(world.head_writes() == 1);
}

TEST_CASE("a token that was used before is found behind later generations") {
  publication_world world(1, {}, publisher_defect::none);
  world.add_publisher(plan_of("first"), milliseconds(0));
  for (int i = 0; i < 120; ++i) {
    world.add_publisher(plan_of(std::to_string(i)), milliseconds(1000 * (i + 1)));
  }
  auto again = plan_of("first");
  again.token_was_used = true;
  world.add_publisher(again, milliseconds(500000));
  const auto result = run_alone(world);
  CHECK(result.code == result_code::ok);
  CHECK(result.head.generation == 1);
  CHECK(world.head_writes() == 121);
}

TEST_CASE("a token does not serve for another set") {
  publication_world world(1, {}, publisher_defect::none);
  world.add_publisher(plan_of("a"), milliseconds(0));
  auto other = plan_of("b");
  other.token = "token-a";
  world.add_publisher(other, milliseconds(1000));
  world.run();
  CHECK(world.publishers()[1].result->code == result_code::publish_conflict);
  CHECK(world.head_writes() == 1);
}

TEST_CASE("another generation than the expected one is a conflict") {
  publication_world world(1, {}, publisher_defect::none);
  world.add_publisher(plan_of("a"), milliseconds(0));
  auto late = plan_of("b");
  late.expected_generation = 0;
  world.add_publisher(late, milliseconds(1000));
  const auto result = run_alone(world);
  CHECK(result.code == result_code::publish_conflict);
  CHECK(result.head.generation == 1);
}

TEST_CASE("a race has one winner and clear conflicts") {
  publication_world world(1, {}, publisher_defect::none);
  for (int i = 0; i < 5; ++i) {
    auto plan = plan_of(std::to_string(i));
    plan.expected_generation = 0;
    world.add_publisher(plan, milliseconds(0));
  }
  world.run();
  CHECK(world.judge().empty());
  CHECK(world.head_writes() == 1);
  int winners = 0;
  for (const auto& each : world.publishers()) {
    winners += each.result->code == result_code::ok ? 1 : 0;
    CHECK((each.result->code == result_code::ok ||
           each.result->code == result_code::publish_conflict));
  }
  CHECK(winners == 1);
}

TEST_CASE("an outage longer than the publication leaves the head alone") {
  publication_world world(1, {.outage = true}, publisher_defect::none);
  auto plan = plan_of("a");
  plan.total_timeout = milliseconds(800);
  world.add_publisher(plan, milliseconds(150));
  CHECK(run_alone(world).code == result_code::platform_unavailable);
  CHECK(world.head_writes() == 0);
}

TEST_CASE("an outage that ends in time only delays a publication") {
  publication_world world(1, {.outage = true}, publisher_defect::none);
  world.add_publisher(plan_of("a"), milliseconds(150));
  CHECK(run_alone(world).code == result_code::ok);
}

TEST_CASE("each fault alone and each two together leave the oracle content") {
  for (unsigned first = 0; first < fault_count; ++first) {
    for (unsigned second = first; second < fault_count; ++second) {
      for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        const auto verdict =
            judge_race(seed, (1U << first) | (1U << second), publisher_defect::none);
        INFO("faults " << first << " and " << second << ", seed " << seed);
        REQUIRE(verdict == "");
      }
    }
  }
}

TEST_CASE("any faults together leave the oracle content") {
  CHECK(rc::check("racing publishers", [](std::uint64_t seed) {
    const auto bits = *rc::gen::inRange(0U, 1U << fault_count);
    RC_ASSERT(judge_race(seed, bits, publisher_defect::none) == "");
  }));
}

TEST_CASE("the oracle finds publishers with a defect") {
  constexpr unsigned no_fault = 0;
  constexpr unsigned lost_after = 1U << 2;
  constexpr unsigned false_done = 1U << 6;
  const auto found_by_versions = cases_until_found(no_fault, publisher_defect::ignores_versions);
  const auto found_by_unknown = cases_until_found(lost_after, publisher_defect::unknown_is_refused);
  const auto found_by_done = cases_until_found(false_done, publisher_defect::believes_done);
  CHECK(found_by_versions.value_or(0) == 2);
  CHECK(found_by_unknown.value_or(0) == 1);
  CHECK(found_by_done.value_or(0) == 1);
}

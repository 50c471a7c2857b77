#include "acaciasill/net/load_schedule.h"

#include <catch2/catch.hpp>

using namespace acaciasill;
using namespace acaciasill::net;
using support::milliseconds;

namespace {

load_plan three_phases() {
  load_plan plan;
  plan.classes.resize(1);
  plan.classes[0].name = "browse";
  plan.classes[0].rate = 1000.0;
  plan.phases = {{"before", milliseconds(1000), {}},
                 {"quiet", milliseconds(1000), {{"browse", 0.0}}},
                 {"surge", milliseconds(1000), {{"browse", 5000.0}}}};
  return plan;
}

// Returns the number of arrivals of one thread in each phase.
std::vector<int> count_arrivals(const load_plan& plan, std::uint32_t thread_count) {
  support::random_source random(7);
  const auto schedule = class_schedule(plan, plan.classes[0], thread_count);
  std::vector<int> counts(plan.phases.size());
  support::duration moment{0};
  while (const auto next = next_arrival(schedule, plan.spacing, moment, random)) {
    REQUIRE(*next >= moment);
    moment = *next;
    ++counts[phase_at(plan, moment)];
  }
  return counts;
}

} // namespace

TEST_CASE("arrivals follow the rate of each phase") {
  const auto counts = count_arrivals(three_phases(), 1);
  CHECK(counts[0] == Approx(1000).margin(120));
  CHECK(counts[1] == 0);
  CHECK(counts[2] == Approx(5000).margin(280));
}

TEST_CASE("uniform arrivals are evenly spaced and shared by the threads") {
  auto plan = three_phases();
  plan.spacing = arrival_spacing::uniform;
  const auto counts = count_arrivals(plan, 2);
  CHECK(counts[0] == Approx(500).margin(1));
  CHECK(counts[2] == Approx(2500).margin(1));
}

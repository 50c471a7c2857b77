// Compares the allocation of a budget to organisations, and the resulting thresholds, with an
// oracle that sums up demand bucket by bucket.
#include "../../lib/decide/share_allocation.h"

#include <algorithm>
#include <numeric>

#include <catch2/catch.hpp>

#include "fault_injection.h"

using namespace acaciasill;
using namespace acaciasill::decide;
using acaciasill::decide::testing::cases_until_failure;

namespace {

enum class fault { none, guarantee_ignored, half_lent, rank_order_ignored };

constexpr std::uint32_t organisations = 4;
constexpr double tolerance = 0.02;

struct share_fixture {
  gate counters{organisations, 100};
  gate_view view;
  threshold_controller controller{organisations};
};

void set_up(share_fixture& fixture, support::random_source& random) {
  fixture.view.organisations = {{0.5, 2.0}, {0.2, 1.0}, {0.1, 1.0}, {0.0, 1.0}};
  fixture.controller.open = false;
  fixture.controller.budget = 10.0 + support::uniform_unit(random) * 100.0;
  for (std::uint32_t index = 0; index < organisations; ++index) {
    auto& demand = fixture.controller.demand[index];
    for (auto& bucket : demand.offered) {
      bucket = random() % 3 == 0 ? support::uniform_unit(random) * 8.0 : 0.0;
    }
    demand.total = std::accumulate(demand.offered.begin(), demand.offered.end(), 0.0);
    demand.highest_level = accept_all;
    fixture.controller.active.push_back(index);
  }
}

// Returns the calls per period that a threshold admits, as counted by the oracle.
double admitted(const organisation_demand& demand, level threshold) {
  constexpr auto width = static_cast<double>(level{1} << bucket_shift);
  double sum = 0.0;
  for (unsigned bucket = 0; bucket < bucket_count; ++bucket) {
    const double part = (static_cast<double>(threshold) + 1.0 - width * bucket) / width;
    sum += demand.offered[bucket] * std::clamp(part, 0.0, 1.0);
  }
  return sum;
}

// Returns the least important rank with an admitted call, and the most important rank with a
// rejected one.
std::pair<int, int> rank_edges(const organisation_demand& demand, double calls) {
  int last_in = -1;
  int first_out = 8;
  double above = 0.0;
  for (int rank = 0; rank < 8; ++rank) {
    double in_rank = 0.0;
    for (unsigned bucket = 0; bucket < 8; ++bucket) {
      in_rank += demand.offered[static_cast<unsigned>(rank) * 8 + bucket];
    }
    const double granted = std::clamp(calls - above, 0.0, in_rank);
    last_in = granted > tolerance ? rank : last_in;
    first_out = granted < in_rank - tolerance ? std::min(first_out, rank) : first_out;
    above += in_rank;
  }
  return {last_in, first_out};
}

bool shares_match_oracle(fault injected) {
  support::random_source random(*rc::gen::arbitrary<std::uint64_t>());
  share_fixture fixture;
  set_up(fixture, random);
  const auto view = fixture.view;
  const double budget = fixture.controller.budget;
  if (injected == fault::guarantee_ignored) {
    fixture.view.organisations.assign(organisations, {0.0, 1.0});
  }
  if (injected == fault::half_lent) {
    fixture.controller.budget /= 2.0;
  }
  if (injected == fault::rank_order_ignored) {
    fixture.view.organisations.assign(organisations, {0.25, 1.0});
  }
  allocate_shares(fixture.counters, fixture.view, fixture.controller, 1000.0);
  double sum = 0.0;
  double demand_sum = 0.0;
  int first_out = 8;
  for (std::uint32_t index = 0; index < organisations; ++index) {
    const auto& demand = fixture.controller.demand[index];
    const double calls = admitted(demand, fixture.counters.organisations[index].threshold);
    const double own = view.organisations[index].guaranteed * budget;
    if (calls + tolerance < std::min(own, demand.total)) {
      return false; // The guaranteed share is not met.
    }
    sum += calls;
    demand_sum += demand.total;
    first_out = std::min(first_out, rank_edges(demand, calls).second);
  }
  if (std::abs(sum - std::min(budget, demand_sum)) > 4 * tolerance) {
    return false; // Budget is left over or exceeded.
  }
  for (std::uint32_t index = 0; index < organisations; ++index) {
    const auto& demand = fixture.controller.demand[index];
    const double calls = admitted(demand, fixture.counters.organisations[index].threshold);
    const bool lent = calls > view.organisations[index].guaranteed * budget + tolerance;
    if (lent && rank_edges(demand, calls).first > first_out) {
      return false; // Budget was lent past a more important rank with unmet demand.
    }
  }
  return true;
}

} // namespace

TEST_CASE("guaranteed shares are met, unused ones are lent by rank, and no budget is left over") {
  CHECK(rc::check([] { RC_ASSERT(shares_match_oracle(fault::none)); }));
}

TEST_CASE("the share property detects each injected fault") {
  CHECK(cases_until_failure("guarantee ignored",
                            [] { return shares_match_oracle(fault::guarantee_ignored); }) > 0);
  CHECK(cases_until_failure("half of the budget lost",
                            [] { return shares_match_oracle(fault::half_lent); }) > 0);
  CHECK(cases_until_failure("everything guaranteed, ranks unheeded",
                            [] { return shares_match_oracle(fault::rank_order_ignored); }) > 0);
}

#include "share_allocation.h"

#include <algorithm>

namespace acaciasill::decide {

namespace {

constexpr unsigned rank_count = 1U << rank_bits;
constexpr unsigned buckets_in_rank = bucket_count / rank_count;
// Maximum rise of a threshold per period, in levels, before acceleration.
constexpr double rise_levels = static_cast<double>(level{1} << hash_bits) / 16.0;
// Demand of a bucket, in calls per period, below which the bucket is considered unused.
constexpr double unused_bucket_demand = 0.01;
// Bisection steps for the fill level.
constexpr int fill_iterations = 24;

double demand_of_rank(const organisation_demand& demand, unsigned rank) {
  double sum = 0.0;
  for (unsigned bucket = 0; bucket < buckets_in_rank; ++bucket) {
    sum += demand.offered[rank * buckets_in_rank + bucket];
  }
  return sum;
}

// Returns the unmet demand of an organisation in a rank if `granted` of its calls are admitted;
// `above` is its demand in more important ranks.
double unmet_in_rank(double above, double in_rank, double granted) {
  return std::clamp(above + in_rank - granted, 0.0, in_rank);
}

// Returns the level at which sum(min(unmet, level * weight)) equals the rest.
double fill_level(const std::vector<share_claim>& claims, double rest) {
  double low = 0.0;
  double high = 0.0;
  for (const auto& claim : claims) {
    high = std::max(high, claim.unmet / claim.weight);
  }
  for (int round = 0; round < fill_iterations; ++round) {
    const double middle = (low + high) / 2.0;
    double sum = 0.0;
    for (const auto& claim : claims) {
      sum += std::min(claim.unmet, middle * claim.weight);
    }
    (sum > rest ? high : low) = middle;
  }
  return low;
}

// Allocates the rest of the budget within one rank; returns the remainder.
double grant_rank(threshold_controller& controller, unsigned rank, double rest) {
  double sum = 0.0;
  for (auto& claim : controller.claims) {
    const double in_rank = demand_of_rank(controller.demand[claim.organisation], rank);
    claim.unmet = unmet_in_rank(claim.above, in_rank, claim.granted);
    claim.above += in_rank;
    sum += claim.unmet;
  }
  const double level = sum <= rest ? -1.0 : fill_level(controller.claims, rest);
  for (auto& claim : controller.claims) {
    claim.granted += level < 0.0 ? claim.unmet : std::min(claim.unmet, level * claim.weight);
  }
  return std::max(0.0, rest - sum);
}

} // namespace

level threshold_for(const organisation_demand& demand, double calls) {
  if (calls >= demand.total) {
    return accept_all;
  }
  double rest = calls;
  for (unsigned bucket = 0; bucket < bucket_count; ++bucket) {
    const double offered = demand.offered[bucket];
    if (offered <= rest) {
      rest -= offered;
      continue;
    }
    const double part = rest / offered;
    const auto within = static_cast<level>(part * static_cast<double>(level{1} << bucket_shift));
    const auto start = static_cast<level>(bucket) << bucket_shift;
    return start + within == 0 ? 0 : start + within - 1;
  }
  return accept_all;
}

level raise_threshold(const organisation_demand& demand, level threshold, double levels) {
  constexpr auto width = static_cast<double>(level{1} << bucket_shift);
  auto position = static_cast<double>(threshold);
  for (unsigned bucket = bucket_of(threshold); bucket < bucket_count; ++bucket) {
    const double end = width * (bucket + 1.0);
    const bool used = demand.offered[bucket] >= unused_bucket_demand;
    if (used && position + levels < end) {
      return static_cast<level>(position + levels);
    }
    levels -= used ? end - position : 0.0;
    position = end;
  }
  return accept_all;
}

void allocate_shares(gate& state, const gate_view& view, threshold_controller& controller,
                     double growth) {
  double rest = controller.budget;
  controller.claims.clear();
  for (const auto index : controller.active) {
    if (index >= view.organisations.size()) {
      continue;
    }
    const auto& share = view.organisations[index];
    const double granted =
        std::min(controller.demand[index].total, share.guaranteed * controller.budget);
    rest -= granted;
    controller.claims.push_back({index, share.weight, granted, 0.0, 0.0});
  }
  rest = std::max(0.0, rest);
  for (unsigned rank = 0; rank < rank_count && rest > 0.0; ++rank) {
    rest = grant_rank(controller, rank, rest);
  }
  for (const auto& claim : controller.claims) {
    const auto& demand = controller.demand[claim.organisation];
    auto& threshold = state.organisations[claim.organisation].threshold;
    const auto wanted = threshold_for(demand, claim.granted);
    // If demand exceeds the share, the threshold rises from the level that callers still offer.
    // Thresholds of several upstreams thus stay close together, and none rises beyond the demand
    // that it has observed.
    const double present = threshold.load(std::memory_order_relaxed);
    const double before =
        wanted == accept_all ? present : std::min<double>(present, demand.highest_level);
    const auto max_threshold =
        raise_threshold(demand, static_cast<level>(before), growth * rise_levels);
    threshold.store(std::min(wanted, max_threshold), std::memory_order_relaxed);
  }
}

} // namespace acaciasill::decide

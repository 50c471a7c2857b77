#include "acaciasill/daemon/call_metrics.h"

#include <algorithm>
#include <limits>

#include <prometheus/metric_family.h>

#include "acaciasill/daemon/trace.h"

namespace acaciasill::daemon {
namespace {

constexpr double us_per_second = 1e6;

std::size_t bucket_of_time(std::uint64_t time_us) {
  const auto bound = std::lower_bound(time_bounds_us.begin(), time_bounds_us.end(), time_us);
  return static_cast<std::size_t>(bound - time_bounds_us.begin());
}

class_counters& counters_of(metrics_shard& shard, std::size_t slot, std::uint8_t rank) {
  return shard.classes[std::min(slot, max_labelled_organisations)]
                      [std::min<std::size_t>(rank, rank_count - 1)];
}

std::vector<prometheus::ClientMetric::Label> class_labels(const std::string& organisation,
                                                          std::size_t rank) {
  return {{"organisation", organisation}, {"rank", std::to_string(rank)}};
}

} // namespace

call_metrics::call_metrics(std::size_t shards) {
  for (std::size_t i = 0; i < shards; ++i) {
    shards_.push_back(std::make_unique<metrics_shard>());
  }
}

void call_metrics::set_label(std::size_t slot, const std::string& organisation) {
  const std::lock_guard lock(names_mutex_);
  if (slot < names_.size()) {
    names_[slot] = organisation;
  }
}

std::string call_metrics::slot_label(std::size_t slot) const {
  return slot < names_.size() ? names_[slot] : "other";
}

void call_metrics::observe(std::size_t shard, std::size_t slot, std::uint8_t rank, time_kind kind,
                           support::duration time) {
  const auto clamped = std::max(time, support::duration::zero());
  const auto time_us = static_cast<std::uint64_t>(
      std::chrono::duration_cast<support::microseconds>(clamped).count());
  auto& counters = counters_of(*shards_[shard], slot, rank);
  const auto index = static_cast<std::size_t>(kind);
  counters.buckets[index][bucket_of_time(time_us)].fetch_add(1, std::memory_order_relaxed);
  counters.sum_us[index].fetch_add(time_us, std::memory_order_relaxed);
}

void call_metrics::count(std::size_t shard, std::size_t slot, std::uint8_t rank,
                         wire::outcome outcome) {
  auto& counters = counters_of(*shards_[shard], slot, rank);
  counters.outcomes[static_cast<std::size_t>(outcome)].fetch_add(1, std::memory_order_relaxed);
}

std::vector<prometheus::MetricFamily> call_metrics::Collect() const {
  return {collect_times(time_kind::call, "acaciasill_call_seconds",
                        "time of a call at the caller's daemon"),
          collect_times(time_kind::queueing, "acaciasill_queueing_seconds",
                        "time that a call waited for a slot of its upstream"),
          collect_outcomes()};
}

prometheus::MetricFamily call_metrics::collect_times(time_kind kind, std::string_view name,
                                                     std::string_view help) const {
  prometheus::MetricFamily family;
  family.name = name;
  family.help = help;
  family.type = prometheus::MetricType::Histogram;
  const auto index = static_cast<std::size_t>(kind);
  const std::lock_guard lock(names_mutex_);
  for (std::size_t slot = 0; slot <= max_labelled_organisations; ++slot) {
    for (std::size_t rank = 0; rank < rank_count; ++rank) {
      prometheus::ClientMetric metric;
      std::uint64_t total = 0;
      for (std::size_t bound = 0; bound <= time_bounds_us.size(); ++bound) {
        for (const auto& shard : shards_) {
          total += shard->classes[slot][rank].buckets[index][bound].load(std::memory_order_relaxed);
        }
        prometheus::ClientMetric::Bucket bucket;
        bucket.cumulative_count = total;
        bucket.upper_bound = bound < time_bounds_us.size()
                                 ? time_bounds_us[bound] / us_per_second
                                 : std::numeric_limits<double>::infinity();
        metric.histogram.bucket.push_back(bucket);
      }
      if (total == 0) {
        continue;
      }
      std::uint64_t sum_us = 0;
      for (const auto& shard : shards_) {
        sum_us += shard->classes[slot][rank].sum_us[index].load(std::memory_order_relaxed);
      }
      metric.histogram.sample_count = total;
      metric.histogram.sample_sum = static_cast<double>(sum_us) / us_per_second;
      metric.label = class_labels(slot_label(slot), rank);
      family.metric.push_back(std::move(metric));
    }
  }
  return family;
}

prometheus::MetricFamily call_metrics::collect_outcomes() const {
  prometheus::MetricFamily family;
  family.name = "acaciasill_calls_total";
  family.help = "calls at the caller's daemon by outcome";
  family.type = prometheus::MetricType::Counter;
  const std::lock_guard lock(names_mutex_);
  for (std::size_t slot = 0; slot <= max_labelled_organisations; ++slot) {
    for (std::size_t rank = 0; rank < rank_count; ++rank) {
      for (std::size_t outcome = 0; outcome < outcome_count; ++outcome) {
        std::uint64_t total = 0;
        for (const auto& shard : shards_) {
          total += shard->classes[slot][rank].outcomes[outcome].load(std::memory_order_relaxed);
        }
        if (total == 0) {
          continue;
        }
        prometheus::ClientMetric metric;
        metric.counter.value = static_cast<double>(total);
        metric.label = class_labels(slot_label(slot), rank);
        metric.label.push_back(
            {"outcome", std::string(outcome_name(static_cast<wire::outcome>(outcome)))});
        family.metric.push_back(std::move(metric));
      }
    }
  }
  return family;
}

} // namespace acaciasill::daemon

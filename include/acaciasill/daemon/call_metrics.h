#ifndef ACACIASILL_DAEMON_CALL_METRICS_H
#define ACACIASILL_DAEMON_CALL_METRICS_H

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <prometheus/collectable.h>

#include "acaciasill/model/configuration.h"
#include "acaciasill/support/time.h"
#include "acaciasill/wire/call.h"

// Histograms and counters of calls per organisation and priority class. Each request thread updates
// the atomics of its own shard; prometheus-cpp collects them.
namespace acaciasill::daemon {

// Maximum number of organisations with their own label; calls of all others are counted as "other".
inline constexpr std::size_t max_labelled_organisations = 63;

// Upper bounds of the histogram buckets, in microseconds; a last bucket has no bound.
inline constexpr std::array<std::uint32_t, 16> time_bounds_us = {
    100,   250,    500,    1000,   2500,    5000,    10000,   20000,
    50000, 100000, 200000, 500000, 1000000, 2000000, 5000000, 10000000};

// Durations that are measured.
enum class time_kind : std::uint8_t {
  call,    // At the caller's daemon, from request to answer.
  queueing // At the upstream's daemon, from arrival to dispatch to the backend server.
};
inline constexpr std::size_t time_kind_count = 2;
inline constexpr std::size_t outcome_count = 4;
inline constexpr std::size_t rank_count = model::max_priority_rank + 1;

// Counters of one organisation and priority class on one thread.
struct class_counters {
  std::array<std::array<std::atomic<std::uint32_t>, time_bounds_us.size() + 1>, time_kind_count>
      buckets{};
  std::array<std::atomic<std::uint64_t>, time_kind_count> sum_us{};
  std::array<std::atomic<std::uint32_t>, outcome_count> outcomes{};
};

// Counters of one request thread.
struct metrics_shard {
  std::array<std::array<class_counters, rank_count>, max_labelled_organisations + 1> classes{};
};

// All call counters of a daemon. Organisations are identified by their slots on the call board.
class call_metrics : public prometheus::Collectable {
public:
  explicit call_metrics(std::size_t shards);

  // Sets the label of an organisation slot. Slots without their own label are counted together.
  // Called when a configuration comes into force.
  void set_label(std::size_t slot, const std::string& organisation);

  // Adds one duration to the histogram.
  void observe(std::size_t shard, std::size_t slot, std::uint8_t rank, time_kind kind,
               support::duration time);

  // Counts the outcome of one call at the caller's daemon.
  void count(std::size_t shard, std::size_t slot, std::uint8_t rank, wire::outcome outcome);

  std::vector<prometheus::MetricFamily> Collect() const override;

private:
  prometheus::MetricFamily collect_times(time_kind kind, std::string_view name,
                                         std::string_view help) const;
  prometheus::MetricFamily collect_outcomes() const;

  std::string slot_label(std::size_t slot) const;

  std::vector<std::unique_ptr<metrics_shard>> shards_;
  mutable std::mutex names_mutex_;
  std::array<std::string, max_labelled_organisations> names_;
};

} // namespace acaciasill::daemon

#endif

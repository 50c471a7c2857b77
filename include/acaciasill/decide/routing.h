#ifndef ACACIASILL_DECIDE_ROUTING_H
#define ACACIASILL_DECIDE_ROUTING_H

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "acaciasill/decide/rate_limit.h"
#include "acaciasill/support/random.h"
#include "acaciasill/support/time.h"

// Choice of an upstream for a call, from a bounded subset of a service's upstreams.
namespace acaciasill::decide {

// Size of the table of service times by kind of call per upstream; kinds beyond it share entries.
// Smaller than at a gate, since each daemon keeps one table per upstream.
inline constexpr std::uint32_t upstream_kind_table_size = 16;

// Load and health of one upstream as known here; shared by all threads and by successive views.
struct upstream_load {
  // Calls of this daemon in flight at the upstream.
  std::atomic<std::uint32_t> own_in_flight{0};
  // Load figures of the upstream's last reply or probe.
  std::atomic<std::uint32_t> in_flight{0};
  std::atomic<std::uint32_t> queued{0};
  std::atomic<std::uint32_t> limit{0};
  std::atomic<std::uint32_t> service_time_us{0};
  // Service times by kind of call: the last reported time in microseconds in the low half, the time
  // of the report in milliseconds in the high half; 0 if there is none.
  std::array<std::atomic<std::uint64_t>, upstream_kind_table_size> kind_times{};
  // Time of the last report in milliseconds, and this daemon's calls in flight at that time.
  std::atomic<std::uint32_t> reported_ms{0};
  std::atomic<std::uint32_t> own_at_report{0};
  // Rate that the upstream's backend server last stated, in calls per second.
  std::atomic<double> stated_rate{unlimited_rate};
  // True once the upstream's backend server has stated that it is leaving; it never serves again.
  std::atomic<bool> leaving{false};
  // Smoothed fraction of failures among replies, in units of 1/65536.
  std::atomic<std::uint32_t> failure_fraction{0};
  std::atomic<std::uint32_t> replies{0};
  // End of the ejection in milliseconds; 0 if the upstream is not ejected.
  std::atomic<std::uint32_t> ejected_until_ms{0};
  std::atomic<std::uint32_t> ejections{0};
  // Time in milliseconds until which the upstream is considered unreachable (0 if it is reachable),
  // and number of consecutive such periods.
  std::atomic<std::uint32_t> unreachable_until_ms{0};
  std::atomic<std::uint32_t> unreachable_count{0};
};

// Upstream as listed in a view.
struct upstream {
  // Identity of the instance; never reused by another instance.
  std::uint64_t id = 0;
  std::uint32_t data_centre = 0;
  // Slots assumed until the upstream has reported a limit.
  std::uint32_t slots = 100;
  bool draining = false;
  std::shared_ptr<upstream_load> load;
};

// Input of routing: the subset, with the upstreams in the local data centre first.
struct route_view {
  std::vector<upstream> upstreams;
  // Number of upstreams in the local data centre.
  std::uint32_t local_count = 0;
  double ejection_cap = 0.34;
  double spill_cap = 0.5;
};

// Calls from this daemon to one service, used to bound the fraction that spills to other data
// centres. Both counts are halved periodically, so that they reflect recent traffic.
struct spill_counters {
  std::atomic<std::uint32_t> calls{0};
  std::atomic<std::uint32_t> spilled{0};
};

// Load figures carried by a reply or a probe.
struct load_report {
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  std::uint32_t limit = 0;
  // Service time of the kind of call that the reply answers.
  std::uint32_t service_time_us = 0;
  std::uint32_t kind = 0;

  bool operator==(const load_report&) const = default;
};

// Selects at most subset_size local and as many remote members by rendezvous hashing; the remote
// ones serve spill. Returns indices into members, local ones first. The result changes by one
// member if one joins or leaves.
std::vector<std::uint32_t> choose_subset(std::span<const upstream> members, std::uint64_t self,
                                         std::uint32_t local_data_centre,
                                         std::uint32_t subset_size);

// Chooses the upstream of the next attempt among those whose ids have not been tried; nullopt if
// none is left. The kind of the call selects the service times that are compared. The caller counts
// the attempt with begin_attempt.
std::optional<std::uint32_t>
choose_upstream(const route_view& view, spill_counters& spill, std::span<const std::uint64_t> tried,
                support::time_point now, support::random_source& random, std::uint32_t kind = 0);

// Counts an attempt sent to the upstream.
void begin_attempt(upstream_load& load);

// Counts the end of an attempt, whatever its outcome.
void end_attempt(upstream_load& load);

// Records the load figures of a reply or a probe.
void record_load(upstream_load& load, const load_report& report, support::time_point now);

// Records whether a reply was a failure of the upstream itself; a refusal for load is not. Ejects
// the upstream if most of its recent replies were failures, for 1 s at first and twice as long each
// further time, up to 30 s.
void record_result(upstream_load& load, bool failed, support::time_point now);

// Records whether an attempt reached the upstream's daemon and its backend server. An unreachable
// upstream is skipped for 100 ms at first and twice as long each further time, up to 2 s; unlike an
// ejection this needs only one failure and is not capped.
void record_reachability(upstream_load& load, bool reached, support::time_point now);

// Returns true if the upstream is skipped because it could not be reached.
bool is_unreachable(const upstream_load& load, support::time_point now);

// Returns true if the upstream is ejected, disregarding the ejection cap and the panic rule.
bool is_ejected(const upstream_load& load, support::time_point now);

// Returns the expected load of the upstream per slot, 1 if it is full. It includes calls queued
// there and this daemon's own calls since the last report. The weight of a report decreases with
// its age.
double load_estimate(const upstream& candidate, support::time_point now);

} // namespace acaciasill::decide

#endif

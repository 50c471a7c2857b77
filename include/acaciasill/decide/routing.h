#ifndef ACACIASILL_DECIDE_ROUTING_H
#define ACACIASILL_DECIDE_ROUTING_H

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "acaciasill/support/random.h"
#include "acaciasill/support/time.h"

// The choice of an upstream for a call, from a bounded subset of a service's upstreams.
namespace acaciasill::decide {

// Service times of an upstream are remembered by kind of call in this many places, which other
// kinds may share; fewer than at a gate, since each daemon keeps them for each upstream.
inline constexpr std::uint32_t remembered_kinds = 16;

// What is known of one upstream's load; shared by all threads and by successive views.
struct upstream_load {
  // The calls that this daemon itself has in flight there.
  std::atomic<std::uint32_t> own_in_flight{0};
  // As the upstream's last reply or probe had them.
  std::atomic<std::uint32_t> in_flight{0};
  std::atomic<std::uint32_t> queued{0};
  std::atomic<std::uint32_t> limit{0};
  std::atomic<std::uint32_t> service_time_us{0};
  // By kind of call: the service time in microseconds as the last reply had it, and in the high
  // half when that was, in milliseconds; 0 for none.
  std::array<std::atomic<std::uint64_t>, remembered_kinds> kind_times{};
  // When that was, in milliseconds, and our own calls in flight then.
  std::atomic<std::uint32_t> reported_ms{0};
  std::atomic<std::uint32_t> own_when_reported{0};
  // The smoothed part of failures among replies, in 1/65536.
  std::atomic<std::uint32_t> failure_part{0};
  std::atomic<std::uint32_t> replies{0};
  // Until when the upstream is ejected, in milliseconds; 0 for not at all.
  std::atomic<std::uint32_t> ejected_until_ms{0};
  std::atomic<std::uint32_t> ejections{0};
  // Until when the upstream counts as out of reach, in milliseconds, 0 for not at all, and how
  // often in a row it was.
  std::atomic<std::uint32_t> unreachable_until_ms{0};
  std::atomic<std::uint32_t> unreachable_times{0};
};

// One upstream as a view lists it.
struct upstream {
  // The instance's identity; never used by another one.
  std::uint64_t id = 0;
  std::uint32_t data_centre = 0;
  // Slots that are assumed until it has reported a limit.
  std::uint32_t slots = 100;
  bool draining = false;
  std::shared_ptr<upstream_load> load;
};

// What routing reads: the subset, those of the local data centre first.
struct route_view {
  std::vector<upstream> upstreams;
  // How many of them are in the local data centre.
  std::uint32_t local_count = 0;
  double ejection_cap = 0.34;
  double spill_cap = 0.5;
};

// Calls to one service from this daemon, for the bound on those that leave the data centre. Both
// counts are halved now and then, so that they speak of the recent past.
struct spill_counters {
  std::atomic<std::uint32_t> calls{0};
  std::atomic<std::uint32_t> spilled{0};
};

// Figures that a reply or a probe brings.
struct load_report {
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  std::uint32_t limit = 0;
  // Of the kind of call that the reply is to.
  std::uint32_t service_time_us = 0;
  std::uint32_t kind = 0;

  bool operator==(const load_report&) const = default;
};

// Picks by rendezvous hashing at most subset_size local and as many remote members; the remote
// part serves spill. The result holds indices into members, local ones first. It changes by one
// member where one joins or leaves.
std::vector<std::uint32_t> choose_subset(std::span<const upstream> members, std::uint64_t self,
                                         std::uint32_t local_data_centre,
                                         std::uint32_t subset_size);

// Chooses the upstream of the next attempt among those whose ids were not tried yet; nothing where
// none is left. The kind of the call tells how long it takes where. The caller counts the call with
// begin_attempt.
std::optional<std::uint32_t>
choose_upstream(const route_view& view, spill_counters& spill, std::span<const std::uint64_t> tried,
                support::time_point now, support::random_source& random, std::uint32_t kind = 0);

// Counts an attempt that is sent to the upstream.
void begin_attempt(upstream_load& load);

// Counts the end of an attempt, whatever came of it.
void end_attempt(upstream_load& load);

// Takes in the figures of a reply or a probe.
void learn_load(upstream_load& load, const load_report& report, support::time_point now);

// Takes in whether a reply was a failure of the upstream itself; a refusal for load is none.
// Ejects the upstream where most of its recent replies were failures, for a second at first and
// twice as long each further time, up to 30 s.
void learn_result(upstream_load& load, bool failed, support::time_point now);

// Takes in whether an attempt found the upstream's daemon and its backend server. One that was not
// found is left out for 100 ms at first and twice as long each further time, up to 2 s; unlike an
// ejection that needs no proof by many replies and has no cap.
void learn_reachability(upstream_load& load, bool reached, support::time_point now);

// Whether the upstream is left out since it could not be reached.
bool is_unreachable(const upstream_load& load, support::time_point now);

// Whether the upstream is ejected, the cap and the panic rule aside.
bool is_ejected(const upstream_load& load, support::time_point now);

// The expected load of the upstream per slot, 1 where it is full; calls that it queues and our own
// calls since its last report count in. Old reports count less.
double load_estimate(const upstream& candidate, support::time_point now);

} // namespace acaciasill::decide

#endif

#include "acaciasill/decide/routing.h"

#include <algorithm>
#include <utility>

namespace acaciasill::decide {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
// Age from which a load report is ignored.
constexpr std::uint32_t report_lifetime_ms = 1000;
constexpr std::uint32_t failure_scale = 65536;
constexpr unsigned failure_shift = 4;
constexpr std::uint32_t initial_unreachable_ms = 100;
constexpr std::uint32_t max_unreachable_ms = 2000;
constexpr std::uint32_t max_doublings = 5;
// Fraction of failures from which an upstream is ejected.
constexpr std::uint32_t outlier_fraction = failure_scale / 2;
constexpr std::uint32_t min_replies = 8;
constexpr std::uint32_t initial_ejection_ms = 1000;
constexpr std::uint32_t max_ejection_ms = 30000;
// Number of upstreams of a view for which ejections are tracked; a subset is far smaller.
constexpr std::uint32_t mask_bits = 64;
// If more than this fraction of the subset is failing, ejections are ignored.
constexpr double panic_fraction = 0.5;
// Load of a local upstream from which a call may spill.
constexpr double full_load = 1.0;
// Load of a remote upstream below which it takes calls that a full local upstream cannot.
constexpr double max_spill_target_load = 0.8;
// If both are full, a call goes to the remote upstream while its load is below this fraction of the
// local one's. Otherwise, in an overload in which the local upstream is the slowest, its queue
// would grow and its threshold would shed calls of the whole service although other upstreams have
// capacity.
constexpr double remote_advantage = 0.9;
// A remote upstream with spare capacity takes calls of a kind whose service time there, multiplied
// by this factor, is below the local one's. Otherwise callers in a data centre with slow servers
// would wait twice as long and time out, although nothing is overloaded.
constexpr double speed_advantage = 1.5;
// Maximum excess of the remote over the local failure fraction, in units of 1/65536, for a call to
// move there. A server that fails immediately looks fast.
constexpr std::uint32_t tolerated_failure_excess = 4096;
// Age from which a remote upstream's service time is outdated, and number of calls of which one is
// sent there to refresh an outdated or unknown time.
constexpr std::uint32_t kind_time_lifetime_ms = 5000;
constexpr std::uint64_t calls_per_probe = 32;
// Number of calls at which the counts are halved.
constexpr std::uint32_t spill_window = 1024;
// Number of spilled calls that the cap does not apply to.
constexpr std::uint32_t spill_allowance = 4;

std::uint32_t milliseconds_of(support::time_point now) {
  return static_cast<std::uint32_t>(support::whole_milliseconds(now.time_since_epoch()));
}

std::uint64_t rendezvous_weight(std::uint64_t self, std::uint64_t member) {
  std::uint64_t mixed = self * 0x9e3779b97f4a7c15ULL ^ member;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

// Conditions for the upstreams of an attempt.
struct eligibility {
  std::span<const std::uint64_t> tried;
  // Bit mask of the ejected upstreams, by index.
  std::uint64_t ejected = 0;
  support::time_point now;
  std::uint32_t kind = 0;
  bool allow_unreachable = false;
};

bool may_use(const route_view& view, std::uint32_t index, const eligibility& rule) {
  const auto& candidate = view.upstreams[index];
  if (candidate.draining || candidate.load->leaving.load(relaxed) ||
      (index < mask_bits && ((rule.ejected >> index) & 1U) != 0)) {
    return false;
  }
  if (!rule.allow_unreachable && is_unreachable(*candidate.load, rule.now)) {
    return false;
  }
  return std::find(rule.tried.begin(), rule.tried.end(), candidate.id) == rule.tried.end();
}

// Returns the ejections in force: at most the cap, and none if more than half of the subset is
// failing, since the cause then lies elsewhere.
std::uint64_t ejections_in_force(const route_view& view, support::time_point now) {
  const auto all = static_cast<double>(view.upstreams.size());
  const auto allowed = static_cast<std::uint32_t>(std::max(1.0, view.ejection_cap * all));
  std::uint32_t failing = 0;
  std::uint64_t ejected = 0;
  for (std::uint32_t index = 0; index < view.upstreams.size() && index < mask_bits; ++index) {
    if (!is_ejected(*view.upstreams[index].load, now)) {
      continue;
    }
    if (++failing <= allowed) {
      ejected |= std::uint64_t{1} << index;
    }
  }
  return failing > panic_fraction * all ? 0 : ejected;
}

// Picks a random eligible upstream in [from, to) other than `excluded`: starts at a random index
// and takes the next eligible one.
std::optional<std::uint32_t> pick_random(const route_view& view, std::uint32_t from,
                                         std::uint32_t to, std::optional<std::uint32_t> excluded,
                                         const eligibility& rule, support::random_source& random) {
  const auto count = to - from;
  if (count == 0) {
    return std::nullopt;
  }
  const auto start = static_cast<std::uint32_t>(support::uniform_below(random, count));
  for (std::uint32_t step = 0; step < count; ++step) {
    const auto index = from + (start + step) % count;
    if (index != excluded && may_use(view, index, rule)) {
      return index;
    }
  }
  return std::nullopt;
}

// Index of an upstream, with its load.
struct choice {
  std::uint32_t index = 0;
  double load = 0.0;
};

// Picks the less loaded of two random upstreams in [from, to).
std::optional<choice> pick_less_loaded_of_two(const route_view& view, std::uint32_t from,
                                              std::uint32_t to, const eligibility& rule,
                                              support::random_source& random) {
  const auto first = pick_random(view, from, to, std::nullopt, rule, random);
  if (!first) {
    return std::nullopt;
  }
  const choice first_choice{*first, load_estimate(view.upstreams[*first], rule.now)};
  const auto second = pick_random(view, from, to, first, rule, random);
  if (!second) {
    return first_choice;
  }
  const choice second_choice{*second, load_estimate(view.upstreams[*second], rule.now)};
  return second_choice.load < first_choice.load ? second_choice : first_choice;
}

void count_call(spill_counters& spill, bool spilled) {
  if (spilled) {
    spill.spilled.fetch_add(1, relaxed);
  }
  if (spill.calls.fetch_add(1, relaxed) + 1 < spill_window) {
    return;
  }
  spill.calls.store(spill_window / 2, relaxed);
  spill.spilled.store(spill.spilled.load(relaxed) / 2, relaxed);
}

bool may_spill(const route_view& view, const spill_counters& spill) {
  const double spilled = spill.spilled.load(relaxed);
  return spilled < spill_allowance + view.spill_cap * spill.calls.load(relaxed);
}

// Returns the last reported service time of the kind in microseconds; 0 if there is none or it is
// outdated.
std::uint32_t recent_time_us(const upstream_load& load, std::uint32_t kind,
                             support::time_point now) {
  const auto stored = load.kind_times[kind % upstream_kind_table_size].load(relaxed);
  const auto age = milliseconds_of(now) - static_cast<std::uint32_t>(stored >> 32U);
  return age <= kind_time_lifetime_ms ? static_cast<std::uint32_t>(stored) : 0;
}

// Returns true if a call goes to a remote upstream although a local one has capacity.
bool is_remote_faster(const upstream_load& local, const upstream_load& remote,
                      const eligibility& rule, support::random_source& random) {
  const double local_us = recent_time_us(local, rule.kind, rule.now);
  const double remote_us = recent_time_us(remote, rule.kind, rule.now);
  if (local_us == 0.0) {
    return false;
  }
  if (remote_us == 0.0) {
    return support::uniform_below(random, calls_per_probe) == 0;
  }
  return remote_us * speed_advantage < local_us &&
         remote.failure_fraction.load(relaxed) <=
             local.failure_fraction.load(relaxed) + tolerated_failure_excess;
}

std::optional<std::uint32_t> choose(const route_view& view, spill_counters& spill,
                                    const eligibility& rule, support::random_source& random) {
  const auto all = static_cast<std::uint32_t>(view.upstreams.size());
  const auto local = pick_less_loaded_of_two(view, 0, view.local_count, rule, random);
  const auto remote = pick_less_loaded_of_two(view, view.local_count, all, rule, random);
  if (local && (local->load < full_load || !may_spill(view, spill))) {
    const bool spills = remote && remote->load < max_spill_target_load && may_spill(view, spill) &&
                        is_remote_faster(*view.upstreams[local->index].load,
                                         *view.upstreams[remote->index].load, rule, random);
    count_call(spill, spills);
    return spills ? remote->index : local->index;
  }
  // If there is no local upstream, applying the cap would only fail the call.
  const bool spills =
      remote && (!local || remote->load < std::max(std::min(max_spill_target_load, local->load),
                                                   remote_advantage * local->load));
  if (!spills && !local) {
    return std::nullopt;
  }
  count_call(spill, spills);
  return spills ? remote->index : local->index;
}

} // namespace

std::vector<std::uint32_t> choose_subset(std::span<const upstream> members, std::uint64_t self,
                                         std::uint32_t local_data_centre,
                                         std::uint32_t subset_size) {
  std::vector<std::pair<std::uint64_t, std::uint32_t>> local;
  std::vector<std::pair<std::uint64_t, std::uint32_t>> remote;
  for (std::uint32_t index = 0; index < members.size(); ++index) {
    const auto& member = members[index];
    auto& part = member.data_centre == local_data_centre ? local : remote;
    part.emplace_back(rendezvous_weight(self, member.id), index);
  }
  std::vector<std::uint32_t> subset;
  for (auto* part : {&local, &remote}) {
    std::sort(part->rbegin(), part->rend());
    const auto count = std::min<std::size_t>(part->size(), subset_size);
    for (std::size_t position = 0; position < count; ++position) {
      subset.push_back((*part)[position].second);
    }
  }
  return subset;
}

std::optional<std::uint32_t> choose_upstream(const route_view& view, spill_counters& spill,
                                             std::span<const std::uint64_t> tried,
                                             support::time_point now,
                                             support::random_source& random, std::uint32_t kind) {
  const eligibility strict{tried, ejections_in_force(view, now), now, kind};
  if (const auto chosen = choose(view, spill, strict, random)) {
    return chosen;
  }
  // Fall back to ejected upstreams, and to unreachable ones as the last resort.
  if (const auto chosen = choose(view, spill, {tried, 0, now, kind}, random)) {
    return chosen;
  }
  return choose(view, spill, {tried, 0, now, kind, true}, random);
}

void begin_attempt(upstream_load& load) {
  load.own_in_flight.fetch_add(1, relaxed);
}

void end_attempt(upstream_load& load) {
  load.own_in_flight.fetch_sub(1, relaxed);
}

void record_load(upstream_load& load, const load_report& report, support::time_point now) {
  load.in_flight.store(report.in_flight, relaxed);
  load.queued.store(report.queued, relaxed);
  load.limit.store(report.limit, relaxed);
  load.service_time_us.store(report.service_time_us, relaxed);
  if (report.service_time_us != 0) {
    load.kind_times[report.kind % upstream_kind_table_size].store(
        (std::uint64_t{milliseconds_of(now)} << 32U) | report.service_time_us, relaxed);
  }
  load.own_at_report.store(load.own_in_flight.load(relaxed), relaxed);
  load.reported_ms.store(milliseconds_of(now), relaxed);
}

void record_result(upstream_load& load, bool failed, support::time_point now) {
  const auto before = load.failure_fraction.load(relaxed);
  const std::uint32_t target = failed ? failure_scale : 0;
  const auto after = before + target / (1U << failure_shift) - before / (1U << failure_shift);
  load.failure_fraction.store(after, relaxed);
  const auto replies = load.replies.fetch_add(1, relaxed) + 1;
  if (!failed) {
    if (after < outlier_fraction / 4) {
      load.ejections.store(0, relaxed);
    }
    return;
  }
  if (replies < min_replies || after < outlier_fraction || is_ejected(load, now)) {
    return;
  }
  const auto times = std::min<std::uint32_t>(load.ejections.fetch_add(1, relaxed), 5);
  const auto span = std::min(max_ejection_ms, initial_ejection_ms << times);
  // The lowest bit is set since 0 means not set.
  load.ejected_until_ms.store((milliseconds_of(now) + span) | 1U, relaxed);
}

void record_reachability(upstream_load& load, bool reached, support::time_point now) {
  if (reached) {
    if (load.unreachable_count.load(relaxed) != 0) {
      load.unreachable_count.store(0, relaxed);
      load.unreachable_until_ms.store(0, relaxed);
    }
    return;
  }
  if (is_unreachable(load, now)) {
    return;
  }
  const auto times = std::min(load.unreachable_count.fetch_add(1, relaxed), max_doublings);
  const auto span = std::min(max_unreachable_ms, initial_unreachable_ms << times);
  // The lowest bit is set since 0 means not set.
  load.unreachable_until_ms.store((milliseconds_of(now) + span) | 1U, relaxed);
}

bool is_unreachable(const upstream_load& load, support::time_point now) {
  const auto until = load.unreachable_until_ms.load(relaxed);
  return until != 0 && static_cast<std::int32_t>(until - milliseconds_of(now)) > 0;
}

bool is_ejected(const upstream_load& load, support::time_point now) {
  const auto until = load.ejected_until_ms.load(relaxed);
  return until != 0 && static_cast<std::int32_t>(until - milliseconds_of(now)) > 0;
}

double load_estimate(const upstream& candidate, support::time_point now) {
  const auto& load = *candidate.load;
  const auto own = load.own_in_flight.load(relaxed);
  const auto limit = load.limit.load(relaxed);
  const double slots = std::max<std::uint32_t>(1, limit == 0 ? candidate.slots : limit);
  const auto age = milliseconds_of(now) - load.reported_ms.load(relaxed);
  if (limit == 0 || age >= report_lifetime_ms) {
    return (own + 1.0) / slots;
  }
  const double reported = load.in_flight.load(relaxed) + load.queued.load(relaxed);
  const double since = static_cast<double>(own) - load.own_at_report.load(relaxed);
  const double report_weight = 1.0 - static_cast<double>(age) / report_lifetime_ms;
  const double expected =
      std::max<double>(own, (reported + since) * report_weight + own * (1.0 - report_weight));
  return (expected + 1.0) / slots;
}

} // namespace acaciasill::decide

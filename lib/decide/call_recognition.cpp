#include "acaciasill/decide/call_recognition.h"

namespace acaciasill::decide {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;

// Number of sightings at which all counts are halved.
constexpr std::uint32_t max_sightings = 512;
// Number of sightings below which nothing is concluded.
constexpr std::uint32_t min_sightings = 8;
// Smallest part of the requests on used connections that a backend server sends immediately: 1/8.
constexpr std::uint32_t immediate_divisor = 8;
// Smallest part of the calls that share the deadline of a running request: 1/2.
constexpr std::uint32_t deadline_divisor = 2;
// Factor by which equal deadlines have to outnumber accidental ones.
constexpr std::uint32_t min_deadline_excess = 2;
// Largest part of the calls that no running request explains, for example because it has just
// ended: 1/16.
constexpr std::uint32_t unexplained_divisor = 16;

void halve(std::atomic<std::uint32_t>& count) {
  count.store(count.load(relaxed) / 2, relaxed);
}

void count_if(std::atomic<std::uint32_t>& count, bool applies) {
  if (applies) {
    count.fetch_add(1, relaxed);
  }
}

// Whether there is enough evidence and running requests explain nearly all of it.
bool is_mostly_explained(const call_evidence& evidence) {
  const auto seen = evidence.seen.load(relaxed);
  return seen >= min_sightings && evidence.unexplained.load(relaxed) * unexplained_divisor <= seen;
}

} // namespace

void record_sighting(call_evidence& evidence, const call_sighting& sighting) {
  if (evidence.seen.fetch_add(1, relaxed) + 1 >= max_sightings) {
    halve(evidence.seen);
    halve(evidence.unexplained);
    halve(evidence.on_used_connection);
    halve(evidence.immediate);
    halve(evidence.deadline_of_running);
    halve(evidence.shifted_deadline);
  }
  count_if(evidence.unexplained, !sighting.is_explained);
  count_if(evidence.on_used_connection, sighting.is_on_used_connection);
  count_if(evidence.immediate, sighting.is_immediate);
  count_if(evidence.deadline_of_running, sighting.has_deadline_of_running);
  count_if(evidence.shifted_deadline, sighting.has_shifted_deadline);
}

bool expires_with_parent(const call_evidence& evidence) {
  const auto equal = evidence.deadline_of_running.load(relaxed);
  return equal * deadline_divisor >= evidence.seen.load(relaxed) &&
         equal >= min_deadline_excess * evidence.shifted_deadline.load(relaxed);
}

bool is_recognised_by_deadlines(const call_evidence& evidence) {
  return is_mostly_explained(evidence) && expires_with_parent(evidence);
}

bool is_called_by_backend(const call_evidence& evidence) {
  if (!is_mostly_explained(evidence)) {
    return false;
  }
  const auto used = evidence.on_used_connection.load(relaxed);
  const bool is_reused_at_once =
      used >= min_sightings && evidence.immediate.load(relaxed) * immediate_divisor >= used;
  return is_reused_at_once || expires_with_parent(evidence);
}

} // namespace acaciasill::decide

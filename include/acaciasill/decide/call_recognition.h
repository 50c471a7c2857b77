#ifndef ACACIASILL_DECIDE_CALL_RECOGNITION_H
#define ACACIASILL_DECIDE_CALL_RECOGNITION_H

#include <atomic>
#include <cstdint>

#include "acaciasill/support/time.h"

// Distinguishes the calls that the local backend server makes from the requests of outside callers
// at the same address, without any mark in the requests. A call belongs to a running request and
// does not outlive it. Besides, a backend server that makes its calls one after the other uses a
// connection again as soon as it is free, and its calls often expire exactly with their request.
// The evidence is collected by route, since a route is normally used by one kind of caller.
namespace acaciasill::decide {

// What one request on a route shows.
struct call_sighting {
  // A running request of the backend server could have made it.
  bool is_explained = false;
  // It arrived on a connection that had carried another request.
  bool is_on_used_connection = false;
  // It arrived within immediate_reuse_time of the answer to the previous one on that connection.
  bool is_immediate = false;
  // It expires at the same time as a running request, or at an unrelated time for comparison.
  bool has_deadline_of_running = false;
  bool has_shifted_deadline = false;

  bool operator==(const call_sighting&) const = default;
};

// Time within which a connection counts as reused immediately.
inline constexpr support::milliseconds immediate_reuse_time{2};

// Counts of the sightings on one route. Older ones lose weight. Any thread may update them; a lost
// update is harmless.
struct call_evidence {
  std::atomic<std::uint32_t> seen{0};
  std::atomic<std::uint32_t> unexplained{0};
  std::atomic<std::uint32_t> on_used_connection{0};
  std::atomic<std::uint32_t> immediate{0};
  std::atomic<std::uint32_t> deadline_of_running{0};
  std::atomic<std::uint32_t> shifted_deadline{0};
};

// Adds a sighting.
void record_sighting(call_evidence& evidence, const call_sighting& sighting);

// Whether calls on the route expire with the request that made them.
bool expires_with_parent(const call_evidence& evidence);

// Whether the route is used by the backend server, judged by the deadlines of its requests alone. A
// caller that reuses its connections immediately does not pass for the backend server.
bool is_recognised_by_deadlines(const call_evidence& evidence);

// Whether the route is used by the backend server. False while there is little evidence.
bool is_called_by_backend(const call_evidence& evidence);

} // namespace acaciasill::decide

#endif

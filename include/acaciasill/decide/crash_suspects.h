#ifndef ACACIASILL_DECIDE_CRASH_SUSPECTS_H
#define ACACIASILL_DECIDE_CRASH_SUSPECTS_H

#include <cstdint>
#include <span>
#include <vector>

#include "acaciasill/decide/content_hash.h"
#include "acaciasill/support/time.h"

// Requests during which backend servers have crashed. Each daemon records which requests its own
// server was running at each crash and shares these records with the others. A request that
// explains enough crashes is refused by all.
namespace acaciasill::decide {

// Number of crashes from which a request is refused.
inline constexpr std::size_t crashes_until_refused = 3;

// Time before a crash within which a call that got no answer may be its cause. A crash may be
// noticed only when the next instance announces itself.
inline constexpr support::seconds crash_window{5};

// Time for which a crash is remembered.
inline constexpr support::seconds crash_lifetime{900};

// Time after which the caller of a refused request should retry, in milliseconds. It is long, since
// only a change of the servers helps.
inline constexpr std::uint32_t crash_retry_after_ms = 60000;

// Bounds of what one daemon keeps and shares.
inline constexpr std::size_t max_unanswered_calls = 1024;
inline constexpr std::size_t max_requests_per_crash = 48;
inline constexpr std::size_t max_recorded_crashes = 64;
inline constexpr std::size_t max_recorded_requests = 256;

// Requests that one crash may be due to, in ascending order, each once.
using crash_requests = std::vector<content_hash>;

// A call to the local backend server whose connection ended without an answer.
struct unanswered_call {
  content_hash content = 0;
  support::time_point ended;

  bool operator==(const unanswered_call&) const = default;
};

// A crash of the local backend server.
struct recorded_crash {
  crash_requests requests;
  support::time_point when;

  bool operator==(const recorded_crash&) const = default;
};

// What one daemon knows about the crashes of its backend server, oldest first.
struct crash_log {
  std::vector<recorded_crash> crashes;
  std::vector<unanswered_call> unanswered;
};

// Records a call that got no answer. Whether the server has crashed is not known yet.
void record_unanswered(crash_log& log, content_hash content, support::time_point now);

// Records that the server has answered something that was sent to it at the given time: calls that
// ended without an answer before that were not lost by a crash.
void record_alive(crash_log& log, support::time_point sent);

// Records that the server has crashed, with the requests that got no answer within crash_window. If
// there are too many, those that are refused already and the latest ones are kept. Returns true if
// the recorded crashes change.
bool record_crash(crash_log& log, std::span<const content_hash> refused, support::time_point now);

// Records that the server has answered a request, which is then the cause of no recorded crash.
// Returns true if the recorded crashes change.
bool record_answered(crash_log& log, content_hash content);

// Adds the crashes that an earlier process of this daemon shared.
void adopt_crashes(crash_log& log, std::span<const crash_requests> crashes,
                   support::time_point now);

// Removes crashes whose lifetime has ended. Returns true if the recorded crashes change.
bool expire_crashes(crash_log& log, support::time_point now);

// Returns the recorded crashes to share.
std::vector<crash_requests> shared_crashes(const crash_log& log);

// Returns true if one daemon may share these crashes.
bool is_within_bounds(std::span<const crash_requests> crashes);

// Returns the requests to refuse, in ascending order, given the crashes of all daemons. The request
// that ran at most crashes explains these; only the remaining ones count against the others, so
// that a request is not refused for having run beside the cause. Requests that explain the same
// crashes equally well are all refused.
std::vector<content_hash> refused_requests(std::vector<crash_requests> crashes);

// What request threads need to know about crashes; all in ascending order.
struct crash_view {
  // Requests that are refused.
  std::vector<content_hash> refused;
  // Requests of the crashes of the local backend server, which an answer clears.
  std::vector<content_hash> suspected;

  bool operator==(const crash_view&) const = default;
};

// Returns whether a sorted list holds the request.
bool is_listed(std::span<const content_hash> sorted, content_hash content);

} // namespace acaciasill::decide

#endif

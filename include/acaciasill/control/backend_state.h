#ifndef ACACIASILL_CONTROL_BACKEND_STATE_H
#define ACACIASILL_CONTROL_BACKEND_STATE_H

#include <cstdint>
#include <optional>
#include <string>

#include "acaciasill/support/time.h"

// The local daemon's state for its backend server, derived from the server's reports and from the
// results of requests to it. Free functions over a plain struct; callers pass in the time.
namespace acaciasill::control {

// Periodic report that a backend server sends about itself.
struct backend_report {
  // Instance identifier of one run of the server; usually new after each start.
  std::string instance;
  // Start of the server in Unix milliseconds by its own clock. Distinguishes two runs that use the
  // same instance identifier.
  std::uint64_t start_ms = 0;
  // Increases with each report of one instance, so that reordered reports are detected.
  std::uint64_t sequence = 0;
  std::string service;
  // Address of the server as "ip:port".
  std::string address;
  std::uint32_t slots = 0;
  bool draining = false;
  // Remaining warm-up time, during which the server is slower than normal.
  support::milliseconds warm_up_left{0};

  bool operator==(const backend_report&) const = default;
};

// Largest number of slots that a backend server may state.
inline constexpr std::uint32_t max_server_slots = 1000000;

// Longest remaining warm-up time of a report, in seconds.
inline constexpr double max_warm_up_s = 3600.0;

// Whether the report names an instance and an address that a server can have, and a number of
// slots from 1 to max_server_slots.
bool is_valid(const backend_report& report);

// Availability of the server.
enum class backend_availability : std::uint8_t {
  unknown, // No report has been received yet.
  serving,
  leaving, // The instance drains or has deregistered; it never serves again.
  lost,    // Unreachable; the next report returns it to serving.
};

// State kept for one server.
struct backend_state {
  backend_availability availability = backend_availability::unknown;
  // The last report that was not stale.
  backend_report report;
  // Time of the last report or response.
  support::time_point last_heard;
  // Number of consecutive requests for which no connection could be established.
  std::uint32_t consecutive_refusals = 0;

  bool operator==(const backend_state&) const = default;
};

// Effect of a report on the state.
enum class report_effect : std::uint8_t {
  none,
  stale,            // Out of order within this instance, or from an earlier instance.
  new_instance,     // A new instance of the server starts to serve.
  reachable_again,  // The server was lost and is reachable again.
  details_changed,  // Its slots, address or service changed.
  started_draining, // It started to drain.
};

// Processes a report. An instance that is leaving stays so whatever its later reports say.
report_effect apply_report(backend_state& state, const backend_report& report,
                           support::time_point now);

// A report that is not applied until something confirms that its sender still serves. It may have
// been delayed, and an earlier process of this daemon may have acknowledged since that the sender
// leaves, without being able to store that.
struct held_report {
  std::optional<backend_report> report;

  bool operator==(const held_report&) const = default;
};

// Holds the report back if it needs to be confirmed, and returns whether it does. That is so for a
// report of a ready server while nothing is known of the server, if an earlier process of this
// daemon may have known it, and for one of an instance that has left at an unknown time of its own
// clock. A later report of the same instance confirms the one that is held.
bool hold_report(held_report& held, const backend_state& state, const backend_report& report,
                 bool may_have_predecessor);

// Takes the report that is held if it is of this instance, which a health check has confirmed.
std::optional<backend_report> release_report(held_report& held, const std::string& instance);

// Records that an instance, identified also by its start time if that is known, has left. Returns
// true if the server was not already leaving. Also applies before any report has been received, so
// that a delayed report of this instance cannot make it serve again, and if the instance is a later
// one than the last that reported.
bool apply_departure(backend_state& state, const std::string& instance,
                     std::optional<std::uint64_t> start_ms);

// Applies the directory record that an earlier process of this daemon wrote for its server. Returns
// true if the server changes to leaving.
bool apply_stored_state(backend_state& state, const std::string& instance, std::uint64_t start_ms,
                        bool leaving);

// Records whether a request reached the server. Returns true if the server changes to lost.
bool record_request_result(backend_state& state, bool reached, support::time_point now);

// Marks the server as lost if neither a report nor a response arrived within the longest permitted
// interval. Returns true if the server changes to lost.
bool check_report_timeout(backend_state& state, support::time_point now, support::duration timeout);

// Whether requests may be sent to the server.
inline bool is_serving(const backend_state& state) {
  return state.availability == backend_availability::serving;
}

// Applies the result of a health check by which the server is healthy and not leaving. A number of
// 0 slots keeps the known one.
void apply_healthy_probe(backend_state& state, const std::string& instance, std::uint32_t slots,
                         support::time_point now);

// Applies the result of a health check by which the instance is leaving; its start time is that of
// its report, if one is held. Returns true if the server was not already leaving.
bool apply_leaving_probe(backend_state& state, held_report& held, const std::string& instance);

} // namespace acaciasill::control

#endif

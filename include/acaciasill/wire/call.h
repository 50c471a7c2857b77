#ifndef ACACIASILL_WIRE_CALL_H
#define ACACIASILL_WIRE_CALL_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "acaciasill/decide/level.h"
#include "acaciasill/support/result_code.h"

// Messages that daemons exchange for a call, independent of their encoding.
namespace acaciasill::wire {

// 128-bit id of a request; identical at every hop of the call graph.
using request_id = decide::request_id;

// HTTP header field.
struct header_field {
  std::string name;
  std::string value;

  bool operator==(const header_field&) const = default;
};

// Call sent from the caller's daemon to the destination's daemon.
struct call_request {
  // Identifies the call on its connection; chosen by the sender and never reused there.
  std::uint64_t correlation = 0;
  request_id id;
  std::string service;
  std::string organisation;
  std::string method;
  // Path and query below /svc/<service>.
  std::string target;
  std::vector<header_field> headers;
  std::string body;
  std::string idempotency_key;
  // Rank of the priority class; 0 is the most important.
  std::uint8_t rank = 0;
  // Whether another service has already completed work for this request.
  bool holds_finished_work = false;
  bool idempotent = true;
  // Retry budget: attempts beyond the first that this call and its subtree may use.
  std::uint32_t lent_attempts = 0;
  // Number of hops from the entry; the call sent by the entry has depth 1.
  std::uint8_t depth = 1;
  // Time until the deadline when the frame was written, in microseconds.
  std::uint64_t time_left_us = 0;
  // Whether the call is a load probe; a probe is not forwarded to the backend server.
  bool probe = false;
  // Generation of the configuration in force at the sender; 0 if there is none.
  std::uint64_t generation = 0;
  // Hash of the route's name; service times are recorded separately for each kind.
  std::uint32_t kind = 0;
  // Rate limit of the destination's backend server as the sender knows it from replies, in calls
  // per second; absent if it knows none.
  std::optional<double> stated_rate;

  bool operator==(const call_request&) const = default;
};

// Result of a call.
enum class outcome : std::uint8_t {
  completed, // The backend server answered.
  not_run,   // No byte of the call reached a backend server, or the server proved it did not start.
  failed,    // The call ran and failed.
  unknown,   // It is not known whether the call ran.
};

// Reply to a call.
struct call_reply {
  std::uint64_t correlation = 0;
  // Id of the request; a mismatch closes the connection.
  request_id id;
  wire::outcome outcome = outcome::unknown;
  support::result_code code = support::result_code::internal_error;
  std::uint16_t http_status = 0;
  std::vector<header_field> headers;
  std::string body;
  // Attempts of the retry budget that were not used.
  std::uint32_t unused_attempts = 0;
  // Attempts beyond the first that the subtree used.
  std::uint32_t spent_attempts = 0;
  // Strictest admission threshold of the subtree for the call's organisation and service. A request
  // whose level is above it would be shed.
  std::uint32_t threshold = 0;
  // Whether a deeper hop refused the call because of overload; no hop above it may then retry.
  bool overloaded_below = false;
  // Suggested delay before a retry, in milliseconds; 0 if there is none.
  std::uint32_t retry_after_ms = 0;
  // Load of the upstream: calls in flight, calls queued, and the current concurrency limit.
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  std::uint32_t limit = 0;
  // Expected service time of the call's kind, in microseconds.
  std::uint32_t service_time_us = 0;
  // Generation of the configuration in force at the sender; 0 if there is none.
  std::uint64_t generation = 0;
  // Calls per second that the backend server states to take from all daemons together, infinity if
  // its answer states no limit; absent if the reply is not based on such an answer.
  std::optional<double> stated_rate;
  // Whether the backend server states in its answer that it is leaving.
  bool backend_leaving = false;

  bool operator==(const call_reply&) const = default;
};

// Cancellation of a call whose caller disconnected or stopped waiting.
struct call_cancel {
  std::uint64_t correlation = 0;
  request_id id;

  bool operator==(const call_cancel&) const = default;
};

} // namespace acaciasill::wire

#endif

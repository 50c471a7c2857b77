#ifndef ACACIASILL_WIRE_CALL_H
#define ACACIASILL_WIRE_CALL_H

#include <cstdint>
#include <string>
#include <vector>

#include "acaciasill/decide/level.h"
#include "acaciasill/support/result_code.h"

// The typed messages that daemons exchange for a call, apart from their encoding.
namespace acaciasill::wire {

// The 128-bit id of a whole request; the same at every hop.
using request_id = decide::request_id;

// One HTTP header field.
struct header_field {
  std::string name;
  std::string value;

  bool operator==(const header_field&) const = default;
};

// A call on its way from the caller's daemon to the destination's daemon.
struct call_request {
  // Chosen by the sender and never used again on the same connection.
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
  // The rank of the priority class, 0 the most important.
  std::uint8_t rank = 0;
  // Whether the request already holds work that another service finished.
  bool holds_finished_work = false;
  bool idempotent = true;
  // Attempts beyond the first that are lent to this call and everything below it.
  std::uint32_t lent_attempts = 0;
  // Hops from the entry; the entry's own call has depth 1.
  std::uint8_t depth = 1;
  // Time left in microseconds when the frame was written.
  std::uint64_t time_left_us = 0;
  // Whether a probe of load alone is asked for; such a call reaches no backend server.
  bool probe = false;
  // The generation of the configuration in force at the sender; 0 where it has none.
  std::uint64_t generation = 0;
  // A hash of the route's name, by which service times are kept apart.
  std::uint32_t kind = 0;

  bool operator==(const call_request&) const = default;
};

// What became of a call.
enum class outcome : std::uint8_t {
  completed, // The backend server answered.
  not_run,   // No byte of the call reached a backend server, or it proved that it did not start.
  failed,    // The call ran and failed.
  unknown,   // Whether the call ran is not known.
};

// The answer to a call.
struct call_reply {
  std::uint64_t correlation = 0;
  // Echoes the request's id; a mismatch closes the connection.
  request_id id;
  wire::outcome outcome = outcome::unknown;
  support::result_code code = support::result_code::internal_error;
  std::uint16_t http_status = 0;
  std::vector<header_field> headers;
  std::string body;
  // Lent attempts that were not spent.
  std::uint32_t unused_attempts = 0;
  // Attempts beyond the first that were spent below.
  std::uint32_t spent_attempts = 0;
  // The strictest admission threshold of the subtree for the call's organisation and service;
  // a request whose level is above it would be shed.
  std::uint32_t threshold = 0;
  // Whether a deeper hop refused the call for overload, so that nobody above it may retry.
  bool overloaded_below = false;
  // The time after which the caller should come back, in milliseconds; 0 for no advice.
  std::uint32_t retry_after_ms = 0;
  // Load of the upstream: calls in flight and queued, and its present limit.
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  std::uint32_t limit = 0;
  // Expected service time of the call's kind in microseconds.
  std::uint32_t service_time_us = 0;
  // The generation of the configuration in force at the sender; 0 where it has none.
  std::uint64_t generation = 0;

  bool operator==(const call_reply&) const = default;
};

// The caller went away or gave up; the call is stopped wherever it is.
struct call_cancel {
  std::uint64_t correlation = 0;
  request_id id;

  bool operator==(const call_cancel&) const = default;
};

} // namespace acaciasill::wire

#endif

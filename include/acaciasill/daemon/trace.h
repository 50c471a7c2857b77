#ifndef ACACIASILL_DAEMON_TRACE_H
#define ACACIASILL_DAEMON_TRACE_H

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "acaciasill/wire/call.h"

// Sampled records of decisions, so that an operator can ask why a request ended as it did.
namespace acaciasill::daemon {

// Where in a call's way a record was made.
enum class trace_role : std::uint8_t { entry, upstream };

// What one daemon decided about one call.
struct trace_record {
  wire::request_id id;
  trace_role role = trace_role::entry;
  std::string service;
  std::string organisation;
  std::uint8_t rank = 0;
  std::uint8_t depth = 0;
  std::uint32_t level = 0;
  std::uint32_t threshold = 0;
  std::uint32_t attempts = 1;
  std::uint64_t queue_us = 0;
  std::uint64_t total_us = 0;
  wire::outcome outcome = wire::outcome::unknown;
  support::result_code code = support::result_code::ok;
  // The address of the upstream that was tried last.
  std::string upstream;

  bool operator==(const trace_record&) const = default;
};

// A bounded ring of records. Each request thread has its own, so that its lock is free but for the
// moment in which somebody reads.
class trace_ring {
public:
  explicit trace_ring(std::size_t capacity);

  // Adds a record over the oldest.
  void add(trace_record record);

  // All records of one request, oldest first.
  std::vector<trace_record> find(const wire::request_id& id) const;

private:
  mutable std::mutex mutex_;
  std::vector<trace_record> records_;
  std::size_t next_ = 0;
  std::size_t capacity_;
};

// Whether a request's ordinary completion is recorded. It depends on the id alone, so that every
// hop records the same requests. Refusals and failures are always recorded.
bool is_sampled(const wire::request_id& id);

// The word for an outcome in headers: completed, not-run, failed, unknown.
std::string_view outcome_name(wire::outcome outcome);

// The records as a JSON array.
std::string format_trace(const std::vector<trace_record>& records);

} // namespace acaciasill::daemon

#endif

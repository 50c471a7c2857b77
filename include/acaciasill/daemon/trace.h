#ifndef ACACIASILL_DAEMON_TRACE_H
#define ACACIASILL_DAEMON_TRACE_H

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "acaciasill/wire/call.h"

// Sampled trace records of decisions, which explain to an operator why a request ended as it did.
namespace acaciasill::daemon {

// Side of the call on which a record was made.
enum class trace_role : std::uint8_t { entry, upstream };

// Decision of one daemon about one call.
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
  // Address of the last upstream tried.
  std::string upstream;

  bool operator==(const trace_record&) const = default;
};

// Bounded ring buffer of records. Each request thread has its own, so that its lock is contended
// only while a reader holds it.
class trace_ring {
public:
  explicit trace_ring(std::size_t capacity);

  // Adds a record, overwriting the oldest one if the ring is full.
  void add(trace_record record);

  // Returns all records of a request, oldest first.
  std::vector<trace_record> find(const wire::request_id& id) const;

private:
  mutable std::mutex mutex_;
  std::vector<trace_record> records_;
  std::size_t next_ = 0;
  std::size_t capacity_;
};

// Whether a request that completes is recorded. The result depends on the id alone, so that every
// hop records the same requests. Refusals and failures are always recorded.
bool is_sampled(const wire::request_id& id);

// Returns the header value for an outcome: completed, not-run, failed or unknown.
std::string_view outcome_name(wire::outcome outcome);

// Formats the records as a JSON array.
std::string format_trace(const std::vector<trace_record>& records);

} // namespace acaciasill::daemon

#endif

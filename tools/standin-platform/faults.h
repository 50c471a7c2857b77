#ifndef ACACIASILL_TOOLS_STANDIN_PLATFORM_FAULTS_H
#define ACACIASILL_TOOLS_STANDIN_PLATFORM_FAULTS_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "acaciasill/support/time.h"

namespace acaciasill::standin {

// Effect of a fault on a request.
enum class fault_kind : std::uint8_t {
  outage, // Answered with HTTP status 503 and not executed.
  hang,   // Neither answered nor executed.
  slow,   // Executed; the response is delayed.
  lost,   // Executed but never answered.
  wrong,  // Executed; the response is corrupted.
};

// Requests that a fault applies to.
enum class fault_scope : std::uint8_t { all, reads, writes };

// An injected fault.
struct fault {
  fault_kind kind{};
  fault_scope scope = fault_scope::all;
  // Number of matching requests to let pass before the fault takes effect.
  std::uint64_t skip_count = 0;
  // Number of requests that the fault still affects; nullopt if unlimited.
  std::optional<std::uint64_t> remaining_count;
  // Expiry time; nullopt if the fault does not expire.
  std::optional<support::time_point> expires_at;
  // Delay of the response to a slow request.
  support::milliseconds delay{0};

  bool operator==(const fault&) const = default;
};

// Combined effect of all faults that apply to one request.
struct request_faults {
  bool outage = false;
  bool hang = false;
  bool lost = false;
  bool wrong = false;
  support::milliseconds delay{0};

  bool operator==(const request_faults&) const = default;
};

// Active faults. Not thread-safe.
class fault_injector {
public:
  void add(const fault& added) { faults_.push_back(added); }
  void clear() { faults_.clear(); }
  std::size_t size() const { return faults_.size(); }

  // Returns the effect of the active faults on the next request, updates their counters and removes
  // the expired ones.
  request_faults match_request(bool is_write, support::time_point now);

private:
  std::vector<fault> faults_;
};

// Parses a fault from a query such as "kind=lost&scope=writes&after=1&count=1&seconds=2&ms=100".
// Errors: bad_request.
absl::StatusOr<fault> parse_fault(const std::string& query, support::time_point now);

// Returns the percent-decoded value of a key in a query; nullopt if it is absent or not decodable.
std::optional<std::string> query_value(const std::string& query, std::string_view key);

} // namespace acaciasill::standin

#endif

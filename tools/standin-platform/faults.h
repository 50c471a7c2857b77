#ifndef ACACIASILL_TOOLS_STANDIN_PLATFORM_FAULTS_H
#define ACACIASILL_TOOLS_STANDIN_PLATFORM_FAULTS_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "acaciasill/support/time.h"

namespace acaciasill::standin {

// What goes wrong with a request.
enum class fault_kind : std::uint8_t {
  outage, // Refused with 503, with no effect.
  hang,   // Never answered, with no effect.
  slow,   // Answered later.
  lost,   // Takes effect and is never answered.
  wrong,  // Takes effect, and the answer does not say what is true.
};

// Which requests a fault meets.
enum class fault_scope : std::uint8_t { all, reads, writes };

// A fault that is switched on.
struct fault {
  fault_kind kind{};
  fault_scope scope = fault_scope::all;
  // How many requests it lets pass before it meets one.
  std::uint64_t after = 0;
  // How many requests it still meets; nothing for any number.
  std::optional<std::uint64_t> count;
  // When it ends; nothing for never.
  std::optional<support::time_point> until;
  // How much later a slow request is answered.
  support::milliseconds delay{0};

  bool operator==(const fault&) const = default;
};

// What one request meets; several faults may meet it at once.
struct request_faults {
  bool outage = false;
  bool hang = false;
  bool lost = false;
  bool wrong = false;
  support::milliseconds delay{0};

  bool operator==(const request_faults&) const = default;
};

// The faults that are switched on.
class fault_switches {
public:
  void add(const fault& each) { faults_.push_back(each); }
  void clear() { faults_.clear(); }
  std::size_t size() const { return faults_.size(); }

  // What the next request meets; counts it.
  request_faults meet(bool is_write, support::time_point now);

private:
  std::vector<fault> faults_;
};

// Reads a fault from the query "kind=lost&scope=writes&after=1&count=1&seconds=2&ms=100". Errors:
// bad_request.
absl::StatusOr<fault> parse_fault(const std::string& query, support::time_point now);

// The value of one key of a query, with its percent-encoding undone.
std::optional<std::string> query_value(const std::string& query, std::string_view key);

} // namespace acaciasill::standin

#endif

#ifndef ACACIASILL_NET_LOAD_REPORT_H
#define ACACIASILL_NET_LOAD_REPORT_H

#include <string>
#include <vector>

#include "absl/status/statusor.h"

namespace acaciasill::net {

// Results of one run and the name under which the page shows them.
struct result_file {
  std::string name;
  // JSON lines printed by the load tool.
  std::string text;

  bool operator==(const result_file&) const = default;
};

// Formats the results side by side as one HTML page: goodput over time, useful fraction by class,
// latency percentiles and recovery time. Returns wrong_type if a text is not output of the load
// tool.
absl::StatusOr<std::string> format_report(const std::vector<result_file>& files);

} // namespace acaciasill::net

#endif

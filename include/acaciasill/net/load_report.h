#ifndef ACACIASILL_NET_LOAD_REPORT_H
#define ACACIASILL_NET_LOAD_REPORT_H

#include <string>
#include <vector>

#include "absl/status/statusor.h"

namespace acaciasill::net {

// One file of results and the name it goes by on the page.
struct result_file {
  std::string name;
  // The JSON lines that the load tool printed.
  std::string text;

  bool operator==(const result_file&) const = default;
};

// One HTML page with the results side by side: goodput over time, what was shed by class, latency
// percentiles and the recovery. Errors: wrong_type for text that is not such results.
absl::StatusOr<std::string> format_report(const std::vector<result_file>& files);

} // namespace acaciasill::net

#endif

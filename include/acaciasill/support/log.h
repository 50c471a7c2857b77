#ifndef ACACIASILL_SUPPORT_LOG_H
#define ACACIASILL_SUPPORT_LOG_H

#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace acaciasill::support {

// How much a log line matters.
enum class log_level { debug, info, warning, error };

// How a process writes its log to standard error.
struct log_settings {
  log_level level = log_level::info;
  bool json = false;

  bool operator==(const log_settings&) const = default;
};

// Reads "debug", "info", "warning" or "error"; wrong_type otherwise.
absl::Status parse_log_level(std::string_view text, log_level& level);

// Sets up the process's log. Call once, before other threads start.
void start_logging(const log_settings& settings);

// Writes one line with the part's fixed prefix, for example "[membership]".
void write_log(log_level level, std::string_view part, std::string_view message);

} // namespace acaciasill::support

#endif

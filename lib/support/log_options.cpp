#include "acaciasill/support/log_options.h"

namespace acaciasill::support {

std::vector<option_spec> with_log_options(std::vector<option_spec> options) {
  options.push_back({"log-level", 0, "LEVEL", "debug, info, warning or error"});
  options.push_back({"log-json", 0, "", "write the log as JSON lines"});
  return options;
}

absl::StatusOr<log_settings> read_log_options(const command_line& line) {
  log_settings settings;
  settings.json = line.has("log-json");
  if (const auto level = line.value("log-level")) {
    if (const auto status = parse_log_level(*level, settings.level); !status.ok()) {
      return status;
    }
  }
  return settings;
}

} // namespace acaciasill::support

#ifndef ACACIASILL_SUPPORT_LOG_OPTIONS_H
#define ACACIASILL_SUPPORT_LOG_OPTIONS_H

#include <vector>

#include "absl/status/statusor.h"
#include "acaciasill/support/command_line.h"
#include "acaciasill/support/log.h"

namespace acaciasill::support {

// Appends --log-level and --log-json, the options of all long-running programs.
std::vector<option_spec> with_log_options(std::vector<option_spec> options);

// Returns the log settings from the command line. Errors: wrong_type for an unknown level.
absl::StatusOr<log_settings> read_log_options(const command_line& line);

} // namespace acaciasill::support

#endif

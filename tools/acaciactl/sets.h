#ifndef ACACIASILL_TOOLS_ACACIACTL_SETS_H
#define ACACIASILL_TOOLS_ACACIACTL_SETS_H

#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "acaciasill/model/configuration.h"
#include "invocation.h"
#include "platform_session.h"

namespace acaciasill::ctl {

// Loads and validates the configuration set in a directory. With a daemon URL, names that members
// known to the daemon use have to be in the set too. On failure prints the error or findings, sets
// exit_status and returns nothing.
std::optional<model::configuration> load_valid_set(const invocation& options,
                                                   const std::string& directory, int& exit_status);

// Reads the set that a head refers to, with the head's generation and revision; an empty set for
// generation 0. Errors: platform_not_found, platform_unavailable, platform_corrupt.
absl::StatusOr<model::configuration> fetch_set(platform_session& session,
                                               const control::configuration_head& head);

// Returns bad_command_line unless a platform URL was given.
absl::Status check_platform_url(const invocation& options);

// Parses a whole number from the command line. Errors: bad_command_line.
absl::StatusOr<std::uint64_t> parse_generation(const std::string& text);

} // namespace acaciasill::ctl

#endif

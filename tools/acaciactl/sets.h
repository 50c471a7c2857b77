#ifndef ACACIASILL_TOOLS_ACACIACTL_SETS_H
#define ACACIASILL_TOOLS_ACACIACTL_SETS_H

#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "acaciasill/model/configuration.h"
#include "invocation.h"
#include "platform_session.h"

namespace acaciasill::ctl {

// Reads and checks a folder, where a daemon's URL was given also against the names that its members
// use; prints the findings and stores the exit status where it is not good.
std::optional<model::configuration> load_checked(const invocation& asked,
                                                 const std::string& directory, int& exit_status);

// The set that a head names, with the head's generation and revision.
absl::StatusOr<model::configuration> fetch_set(platform_session& session,
                                               const control::configuration_head& head);

// The error where the command needs the platform and no URL was given.
absl::Status check_platform_url(const invocation& asked);

// Reads a generation from the command line.
absl::StatusOr<std::uint64_t> parse_generation(const std::string& text);

} // namespace acaciasill::ctl

#endif

#ifndef ACACIASILL_TOOLS_ACACIACTL_DAEMON_H
#define ACACIASILL_TOOLS_ACACIACTL_DAEMON_H

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "acaciasill/model/configuration.h"
#include "acaciasill/model/settings_reader.h"
#include "invocation.h"
#include "output.h"

namespace acaciasill::ctl {

// Sends a GET request for the path to the daemon of --daemon and parses the JSON in its response.
// Errors: bad_command_line (no or malformed URL), peer_unreachable (no response in time),
// platform_not_found (HTTP status 404), peer_mismatch (another status, or not JSON).
absl::StatusOr<json> fetch_daemon_document(const invocation& options, const std::string& path);

// Returns a finding for each service and data centre that is missing from the set although members
// known to the daemon still use it. Errors: those of fetch_daemon_document.
absl::StatusOr<std::vector<model::finding>> find_missing_names(const invocation& options,
                                                               const model::configuration& set);

} // namespace acaciasill::ctl

#endif

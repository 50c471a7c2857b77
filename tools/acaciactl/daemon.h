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

// Asks a daemon for one JSON document. Errors: bad_command_line, peer_unreachable,
// platform_not_found, peer_mismatch.
absl::StatusOr<json> ask_daemon(const invocation& asked, const std::string& path);

// A finding for each service and data centre that members have by the daemon's knowledge and the
// set lacks.
absl::StatusOr<std::vector<model::finding>> find_names_in_use(const invocation& asked,
                                                              const model::configuration& set);

} // namespace acaciasill::ctl

#endif

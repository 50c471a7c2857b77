#ifndef ACACIASILL_LIB_DAEMON_DIRECTORY_SUPPORT_H
#define ACACIASILL_LIB_DAEMON_DIRECTORY_SUPPORT_H

#include <cstdint>

#include "acaciasill/control/backend_state.h"
#include "acaciasill/control/table_store.h"
#include "acaciasill/net/http_server.h"
#include "acaciasill/net/peer_settings.h"

// Log names and fixed settings of the directory-based daemon.
namespace acaciasill::daemon {

// Returns the log name of a store result or of the effect of a backend report.
const char* name_of(control::store_end end);
const char* name_of(control::report_effect effect);

// Returns the settings of peer connections between daemons of one directory.
net::peer_settings peer_settings_for_directory();

// Returns the settings of an HTTP server at the given address.
net::http_server_settings listen_settings(const net::peer_address& address,
                                          std::uint32_t max_body_bytes);

} // namespace acaciasill::daemon

#endif

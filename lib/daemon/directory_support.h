#ifndef ACACIASILL_LIB_DAEMON_DIRECTORY_SUPPORT_H
#define ACACIASILL_LIB_DAEMON_DIRECTORY_SUPPORT_H

#include <cstdint>

#include "acaciasill/control/backend_life.h"
#include "acaciasill/control/table_store.h"
#include "acaciasill/net/http_server.h"
#include "acaciasill/net/peer_settings.h"

// Words for log lines and fixed settings of the directory daemon.
namespace acaciasill::daemon {

// How a store's operation ended, and what a backend server's report changed, in one word each.
const char* name_of(control::store_end end);
const char* name_of(control::report_effect effect);

// How daemons of one directory hold their connections to each other.
net::peer_settings peer_settings_for_directory();

// The settings of an HTTP server at this address.
net::http_server_settings listen_settings(const net::peer_address& address,
                                          std::uint32_t max_body_bytes);

} // namespace acaciasill::daemon

#endif

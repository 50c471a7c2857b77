#ifndef ACACIASILL_LIB_DAEMON_DIRECTORY_SUPPORT_H
#define ACACIASILL_LIB_DAEMON_DIRECTORY_SUPPORT_H

#include <cstdint>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "absl/status/status.h"

#include "acaciasill/control/backend_state.h"
#include "acaciasill/control/directory.h"
#include "acaciasill/control/table_store.h"
#include "acaciasill/model/settings_reader.h"
#include "acaciasill/net/http_server.h"
#include "acaciasill/net/peer_settings.h"

// Log names and fixed settings of the directory-based daemon.
namespace acaciasill::daemon {

// Returns the log name of a store result or of the effect of a backend report.
const char* name_of(control::store_end end);
const char* name_of(control::report_effect effect);

// Log the results of calls to the store for the table, and its restoration from a copy.
void log_store_contact(const char* table, bool reached, control::store_end end);
void log_store_restored(const char* table, std::uint64_t era);

// Logs the objects of a configuration that are not used; of many, the first ones.
void log_invalid_objects(std::uint64_t configuration, const std::vector<model::finding>& findings);

// Log a directory row that cannot be decoded, and the end of a write of the local daemon's row.
void log_invalid_row(const control::stored_row& row, const absl::Status& status);
void log_written_row(const control::directory_entry& entry, control::store_end end);

// Logs which daemons' copies are read; none if the store is read.
void log_replicas(const std::vector<std::string>& call_addresses, std::uint64_t version);

// Returns a function that runs functions on the context after a delay.
control::delayed_call make_delayed_call(asio::io_context& context);

// Returns the settings of peer connections between daemons of one directory.
net::peer_settings peer_settings_for_directory();

// Returns the settings of an HTTP server at the given address.
net::http_server_settings listen_settings(const net::peer_address& address,
                                          std::uint32_t max_body_bytes);

} // namespace acaciasill::daemon

#endif

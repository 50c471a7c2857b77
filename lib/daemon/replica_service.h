#ifndef ACACIASILL_LIB_DAEMON_REPLICA_SERVICE_H
#define ACACIASILL_LIB_DAEMON_REPLICA_SERVICE_H

#include "acaciasill/control/replicated_tables.h"
#include "acaciasill/net/http_client.h"
#include "acaciasill/net/http_server.h"
#include "acaciasill/net/peer_settings.h"

// Reads of tables between daemons over HTTP: GET /tables/<table>, with after, era and wait_ms for a
// read of changes.
namespace acaciasill::daemon {

// Whether the request reads a table.
bool is_table_read(const net::http_request& request);

// Answers a read of a table: 200 with the rows, 410 if the changes since the position are unknown,
// 503 if the copy is not up to date, 404 for an unknown table.
void serve_table_read(const net::http_request& request, control::replicated_tables& tables,
                      const net::http_responder& respond);

// Sends a read of a table to a replica. The client runs on the context.
void send_table_read(asio::io_context& context, net::http_client& client,
                     const control::directory_entry& replica, const control::table_read& read,
                     control::store_callback done);

} // namespace acaciasill::daemon

#endif

#ifndef ACACIASILL_LIB_DAEMON_UPSTREAM_EXCHANGE_H
#define ACACIASILL_LIB_DAEMON_UPSTREAM_EXCHANGE_H

#include "acaciasill/net/backend_client.h"
#include "acaciasill/support/time.h"
#include "acaciasill/wire/call.h"

namespace acaciasill::support {
class hmac_signer;
}
namespace acaciasill::board {
struct call_board;
}

// What goes to the local backend server and what its response means.
namespace acaciasill::daemon {

// The HTTP exchange for a call, with the headers that the server passes on to its own calls.
net::backend_request make_backend_request(board::call_board& board,
                                          const wire::call_request& request,
                                          support::time_point deadline, support::time_point now,
                                          support::hmac_signer& signer);

// The reply that tells truly what became of the call.
wire::call_reply interpret_response(net::backend_response response, bool idempotent);

} // namespace acaciasill::daemon

#endif

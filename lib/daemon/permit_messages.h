#ifndef ACACIASILL_LIB_DAEMON_PERMIT_MESSAGES_H
#define ACACIASILL_LIB_DAEMON_PERMIT_MESSAGES_H

#include <cstddef>
#include <memory>
#include <string>

#include "acaciasill/net/peer_listener.h"
#include "acaciasill/wire/call.h"

namespace acaciasill::board {
struct call_board;
}
namespace acaciasill::net {
class peer_pool;
}

// Messages about permits between daemons: calls without a service, which the receiving daemon
// answers itself.
namespace acaciasill::daemon {

class permit_service;

// Returns the permit service of a daemon, which sends its messages through the pool.
std::unique_ptr<permit_service> make_permit_service(board::call_board& board, net::peer_pool& peers,
                                                    std::size_t threads,
                                                    const std::string& own_address);

// Whether the call is a message to the permit service of its receiver.
bool is_permit_message(const wire::call_request& request);

// Answers a message of another daemon on the request thread with the index.
void serve_permit_message(permit_service& permits, std::size_t thread,
                          const wire::call_request& request, const net::call_responder& respond);

} // namespace acaciasill::daemon

#endif

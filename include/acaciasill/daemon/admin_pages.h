#ifndef ACACIASILL_DAEMON_ADMIN_PAGES_H
#define ACACIASILL_DAEMON_ADMIN_PAGES_H

#include <functional>
#include <string>
#include <vector>

#include "acaciasill/control/node.h"
#include "acaciasill/daemon/backend_registry.h"
#include "acaciasill/net/http_server.h"

namespace acaciasill::board {
struct call_board;
}
namespace acaciasill::net {
struct gossip_counters;
}

// HTTP endpoints for operators and the local backend server, served beside the calls.
namespace acaciasill::daemon {

class call_metrics;
struct request_thread;

// Data sources and operations behind the admin endpoints. The functions that need the control
// thread post to it and invoke their callbacks there.
struct admin_environment {
  board::call_board* board = nullptr;
  call_metrics* metrics = nullptr;
  const net::gossip_counters* gossip = nullptr;
  std::vector<request_thread*> threads;
  std::string name;
  std::string data_centre;
  std::function<void(const backend_announcement&)> announce;
  std::function<void()> leave;
  std::function<void(std::function<void(control::node_status, control::cluster_view)>)>
      query_status;
  // Looks up the state of an organisation's idempotency key, as JSON.
  std::function<void(std::string organisation, std::string key, std::function<void(std::string)>)>
      query_key;
};

// Answers one request that is not a call. The responder is called once, on the given request
// thread.
void serve_admin_page(const admin_environment& environment, request_thread& home,
                      const net::http_request& request, net::http_responder respond);

} // namespace acaciasill::daemon

#endif

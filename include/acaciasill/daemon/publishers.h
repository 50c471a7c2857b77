#ifndef ACACIASILL_DAEMON_PUBLISHERS_H
#define ACACIASILL_DAEMON_PUBLISHERS_H

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "absl/status/status.h"

#include "acaciasill/control/node.h"
#include "acaciasill/decide/routing.h"
#include "acaciasill/model/configuration.h"

namespace acaciasill::board {
struct call_board;
}

// The controllers that turn what the control part decided into views for request threads. They run
// on the control thread alone.
namespace acaciasill::daemon {

class call_metrics;

// Puts a configuration in force on the blackboard. Errors: those of compile_snapshot; the one in
// force then stays.
absl::Status publish_configuration(board::call_board& board, call_metrics& metrics,
                                   model::configuration set, const std::string& digest);

// Makes the admission's view for the local backend server's service anew. To be called after a
// change of the configuration or of the backend server.
void publish_admission(board::call_board& board);

// What routing keeps across views: the load of each instance that is known.
struct routing_publisher {
  std::string own_name;
  std::string own_data_centre;
  std::unordered_map<std::uint64_t, std::shared_ptr<decide::upstream_load>> loads;
};

// Puts the members in force as routes, by the configuration's subset sizes and caps.
void publish_routing(board::call_board& board, routing_publisher& publisher,
                     const control::cluster_view& view);

} // namespace acaciasill::daemon

#endif

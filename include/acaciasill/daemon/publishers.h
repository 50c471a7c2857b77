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
#include "acaciasill/support/time.h"

namespace acaciasill::board {
struct call_board;
}

// Publication of configuration, admission and routing views for the request threads. All functions
// run on the control thread.
namespace acaciasill::daemon {

class call_metrics;

// Compiles a configuration and publishes it to the call board. On error the current configuration
// stays in force. Errors: those of compile_snapshot.
absl::Status publish_configuration(board::call_board& board, call_metrics& metrics,
                                   model::configuration set, const std::string& digest);

// Rebuilds the admission view for the local backend server's service. Must be called after a change
// of the configuration or of the backend server.
void publish_admission(board::call_board& board);

// Time for which the load of an instance is kept while no member lists it. A daemon that restarts
// is not listed for some seconds, while its server runs on.
inline constexpr support::seconds unlisted_load_lifetime{60};

// Load of a known instance, and the last time at which a member listed it.
struct known_load {
  std::shared_ptr<decide::upstream_load> load;
  support::time_point listed;
};

// Routing state kept across views: the load of each known instance.
struct routing_publisher {
  std::string own_name;
  std::string own_data_centre;
  std::unordered_map<std::uint64_t, known_load> loads;
};

// Publishes which members are coordinators of rate limits.
void publish_coordinators(board::call_board& board, const std::string& own_data_centre,
                          const control::cluster_view& view);

// Publishes routes to the given members, using the configuration's subset sizes and caps, and the
// coordinators of rate limits.
void publish_routing(board::call_board& board, routing_publisher& publisher,
                     const control::cluster_view& view, support::time_point now);

} // namespace acaciasill::daemon

#endif

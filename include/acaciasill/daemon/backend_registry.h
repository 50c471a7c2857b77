#ifndef ACACIASILL_DAEMON_BACKEND_REGISTRY_H
#define ACACIASILL_DAEMON_BACKEND_REGISTRY_H

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "acaciasill/board/views.h"
#include "acaciasill/support/time.h"

namespace acaciasill::board {
struct call_board;
}

// What the local backend server tells its daemon about itself.
namespace acaciasill::daemon {

// One announcement, which is also the heartbeat and the load report.
struct backend_announcement {
  std::string service;
  // "ip:port".
  std::string address;
  // The identity of this life of the server; empty where it gives none.
  std::string instance;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  bool cold = false;
  // Calls in flight as the server sees them; it may lag or mislead.
  std::optional<std::uint32_t> in_flight;

  bool operator==(const backend_announcement&) const = default;
};

// Reads the JSON body of POST /acaciasill/announce. Errors: bad_request.
absl::StatusOr<backend_announcement> parse_announcement(std::string_view body);

// What the registry tells.
struct backend_callbacks {
  // The server announced itself for the first time, again after a loss, or with other figures.
  std::function<void(const backend_announcement&, bool is_new)> on_change;
  // The server left or its heartbeat is missing.
  std::function<void()> on_lost;
};

// Keeps the announcement in force on the blackboard. Runs on the control thread.
class backend_registry {
public:
  backend_registry(board::call_board& board, support::milliseconds heartbeat_timeout,
                   backend_callbacks callbacks);

  // Takes an announcement or a heartbeat.
  void announce(const backend_announcement& announcement, support::time_point now);

  // Takes the server's goodbye.
  void leave();

  // Takes a missing heartbeat in; to be called every second or so.
  void check_heartbeat(support::time_point now);

private:
  void publish(const board::backend_target& target);

  board::call_board& board_;
  support::milliseconds heartbeat_timeout_;
  backend_callbacks callbacks_;
  std::optional<backend_announcement> present_;
  support::time_point last_heard_;
};

} // namespace acaciasill::daemon

#endif

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

// Announcements that the local backend server sends to its daemon.
namespace acaciasill::daemon {

// An announcement, which also serves as heartbeat and load report.
struct backend_announcement {
  std::string service;
  // Address of the server, as "ip:port".
  std::string address;
  // Identifier of this run of the server; empty if the server does not report one.
  std::string instance;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  bool cold = false;
  // Calls in flight as reported by the server. The value may be out of date or wrong.
  std::optional<std::uint32_t> in_flight;

  bool operator==(const backend_announcement&) const = default;
};

// Parses the JSON body of POST /acaciasill/announce. Errors: bad_request.
absl::StatusOr<backend_announcement> parse_announcement(std::string_view body);

// Notifications from the registry.
struct backend_callbacks {
  // Called when the server announces itself for the first time, again after it was lost, or with a
  // different number of slots or connections.
  std::function<void(const backend_announcement&, bool is_new)> on_change;
  // Called when the server leaves or its heartbeat times out.
  std::function<void()> on_lost;
};

// Publishes the current announcement to the call board. Runs on the control thread.
class backend_registry {
public:
  backend_registry(board::call_board& board, support::milliseconds heartbeat_timeout,
                   backend_callbacks callbacks);

  // Records an announcement or a heartbeat.
  void announce(const backend_announcement& announcement, support::time_point now);

  // Removes the server after it has announced that it leaves.
  void leave();

  // Removes the server if its heartbeat has timed out. Must be called at least about once per
  // second.
  void check_heartbeat(support::time_point now);

private:
  void publish(const board::backend_target& target);

  board::call_board& board_;
  support::milliseconds heartbeat_timeout_;
  backend_callbacks callbacks_;
  std::optional<backend_announcement> announced_;
  support::time_point last_heard_;
};

} // namespace acaciasill::daemon

#endif

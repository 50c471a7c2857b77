#ifndef ACACIASILL_LIB_DAEMON_CRASH_MONITOR_H
#define ACACIASILL_LIB_DAEMON_CRASH_MONITOR_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "acaciasill/control/directory.h"
#include "acaciasill/decide/crash_suspects.h"
#include "acaciasill/support/time.h"

namespace acaciasill::board {
struct call_board;
}
namespace acaciasill::wire {
struct call_request;
}

// Crashes of backend servers: what the local daemon has recorded, what the others share, and which
// requests are refused for it.
namespace acaciasill::daemon {

// Returns whether the request is refused because servers have crashed while they ran it, and counts
// the refusal. Called on request threads.
bool is_refused_for_crashes(board::call_board& board, const wire::call_request& request);

// Used on the control thread only.
class crash_monitor {
public:
  explicit crash_monitor(board::call_board& board) : board_(board) {}

  // Records that a request got no answer from the local backend server.
  void record_unanswered(decide::content_hash content);

  // Records that the server has answered a request of a recorded crash.
  void record_answered(decide::content_hash content);

  // Records that the server has answered a health check that was sent at the given time.
  void record_alive(support::time_point sent);

  // Records a crash if requests got no answer. Returns true if the own row has to be written.
  bool record_crash(const std::string& instance, const char* sign);

  // Returns whether it is not known if the server has crashed.
  bool needs_health_check() const { return !log_.unanswered.empty(); }

  // Removes outdated crashes. Returns true if the own row has to be written for that, or because
  // requests were cleared; at most once a second.
  bool update(support::time_point now);

  // Adopts the crashes in the row that an earlier process of this daemon wrote.
  void adopt(const control::directory_entry& own);

  // Returns the crashes for the own row.
  std::vector<decide::crash_requests> shared() const { return decide::shared_crashes(log_); }

  // Publishes which requests are refused, given the rows of the directory. own_address is the key
  // of the local daemon's row.
  void publish(const std::map<std::string, control::directory_entry>& entries,
               std::uint64_t directory_version, const std::string& own_address);

private:
  // Crashes in the row of another daemon, and since when they have been the same.
  struct seen_crashes {
    std::vector<decide::crash_requests> crashes;
    support::time_point since;
  };

  std::vector<decide::crash_requests>
  collect(const std::map<std::string, control::directory_entry>& entries,
          const std::string& own_address);

  board::call_board& board_;
  decide::crash_log log_;
  bool is_changed_ = false;
  support::time_point next_update_{};
  std::map<std::string, seen_crashes> seen_;
  decide::crash_view published_;
};

} // namespace acaciasill::daemon

#endif

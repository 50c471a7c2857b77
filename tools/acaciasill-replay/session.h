#ifndef ACACIASILL_TOOLS_REPLAY_SESSION_H
#define ACACIASILL_TOOLS_REPLAY_SESSION_H

#include <iosfwd>
#include <map>
#include <memory>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "absl/status/status.h"
#include "acaciasill/control/simulated_cluster.h"

// Replay of recorded sessions: JSON lines, each with a time, a subject (node, platform, network or
// request path) and an event. The format is described in docs/REPLAY.md.
namespace acaciasill::replay {

// Replay state that line handlers share.
struct session_context {
  control::simulated_cluster& cluster;
  support::random_source& random;
  std::ostream& output;
  // Time of the line, in milliseconds from the start of the session.
  long long at_ms = 0;
};

// Handler of the session lines that contain its key. To replay another component, derive a class
// and register it in session.cpp.
class line_handler {
public:
  virtual ~line_handler() = default;
  // Key that the lines of this handler contain.
  virtual const char* key() const = 0;
  // Applies one line. Returns an error that describes the fault if the line is not valid.
  virtual absl::Status apply(const nlohmann::json& line, session_context& context) = 0;
};

// Options of the program.
struct replay_options {
  // Whether datagrams, timers and platform reads are printed too.
  bool all = false;
};

// Replays a session and prints the decisions, one JSON object per line. Errors: bad_request, with
// the number of the invalid line.
absl::Status replay_session(std::istream& input, std::ostream& output,
                            const replay_options& options);

} // namespace acaciasill::replay

#endif

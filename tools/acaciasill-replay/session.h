#ifndef ACACIASILL_TOOLS_REPLAY_SESSION_H
#define ACACIASILL_TOOLS_REPLAY_SESSION_H

#include <iosfwd>
#include <map>
#include <memory>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "absl/status/status.h"
#include "acaciasill/control/message_bag.h"

// A recorded session: JSON lines, each with a time, a subject and an event. docs/REPLAY.md
// describes the format.
namespace acaciasill::replay {

// What one kind of line needs while a session is replayed.
struct session_context {
  control::message_bag& bag;
  support::random_source& random;
  std::ostream& output;
  // The moment of the line, in milliseconds from the start of the session.
  long long at_ms = 0;
};

// The part of a session that answers for one group of lines, those that have its key. A new part
// of the product joins the replay by a class of this kind, added in session.cpp.
class line_reader {
public:
  virtual ~line_reader() = default;
  // The key whose presence marks this reader's lines.
  virtual const char* key() const = 0;
  // Applies one line; an error names what is wrong with it.
  virtual absl::Status apply(const nlohmann::json& line, session_context& context) = 0;
};

// How much is printed.
struct replay_options {
  // Also datagrams, timers and requests that read.
  bool all = false;
};

// Replays a whole session and prints the decisions, one JSON object a line.
absl::Status replay_session(std::istream& input, std::ostream& output,
                            const replay_options& options);

} // namespace acaciasill::replay

#endif

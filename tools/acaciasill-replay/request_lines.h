#ifndef ACACIASILL_TOOLS_REPLAY_REQUEST_LINES_H
#define ACACIASILL_TOOLS_REPLAY_REQUEST_LINES_H

#include <memory>

#include "session.h"

namespace acaciasill::replay {

// The reader of lines with "request_path": the decisions about calls, by the functions that the
// daemon calls.
std::unique_ptr<line_reader> make_request_lines();

} // namespace acaciasill::replay

#endif

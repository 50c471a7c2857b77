#ifndef ACACIASILL_TOOLS_REPLAY_REQUEST_PATH_HANDLER_H
#define ACACIASILL_TOOLS_REPLAY_REQUEST_PATH_HANDLER_H

#include <memory>

#include "session.h"

namespace acaciasill::replay {

// Returns the handler of lines with "request_path". It makes decisions about calls with the same
// functions as the daemon.
std::unique_ptr<line_handler> make_request_handler();

} // namespace acaciasill::replay

#endif

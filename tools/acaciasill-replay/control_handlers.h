#ifndef ACACIASILL_TOOLS_REPLAY_CONTROL_HANDLERS_H
#define ACACIASILL_TOOLS_REPLAY_CONTROL_HANDLERS_H

#include <memory>
#include <vector>

#include "session.h"

namespace acaciasill::replay {

// Returns the handlers of lines about nodes, the platform and the network between nodes.
std::vector<std::unique_ptr<line_handler>> make_control_handlers();

} // namespace acaciasill::replay

#endif

#ifndef ACACIASILL_TOOLS_REPLAY_CONTROL_LINES_H
#define ACACIASILL_TOOLS_REPLAY_CONTROL_LINES_H

#include <memory>
#include <vector>

#include "session.h"

namespace acaciasill::replay {

// Readers of the lines about nodes, the platform and the network between them.
std::vector<std::unique_ptr<line_reader>> make_control_lines();

} // namespace acaciasill::replay

#endif

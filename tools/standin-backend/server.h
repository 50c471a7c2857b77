#ifndef STANDIN_BACKEND_SERVER_H
#define STANDIN_BACKEND_SERVER_H

#include "settings.h"

namespace acaciasill::standin {

// Serves until SIGTERM or SIGINT, then drains and prints the counters. Returns the process's exit
// status.
int serve(const settings& config);

} // namespace acaciasill::standin

#endif

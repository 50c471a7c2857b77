#ifndef ACACIASILL_NET_LOAD_RUN_H
#define ACACIASILL_NET_LOAD_RUN_H

#include "acaciasill/net/load_plan.h"
#include "acaciasill/net/load_results.h"

namespace acaciasill::net {

// Runs the whole plan on threads of its own and returns what they counted together. Faults strike
// on the calling thread.
load_results run_load(const load_plan& plan);

// Makes one fault happen; false where the POST was refused or the process is not there.
bool strike(const load_fault& fault);

} // namespace acaciasill::net

#endif

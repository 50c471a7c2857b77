#ifndef ACACIASILL_NET_LOAD_RUN_H
#define ACACIASILL_NET_LOAD_RUN_H

#include "acaciasill/net/load_plan.h"
#include "acaciasill/net/load_results.h"

namespace acaciasill::net {

// Runs a plan on plan.threads new threads and returns their merged results. Faults are injected
// from the calling thread, which blocks until the run has ended.
load_results run_load(const load_plan& plan);

// Injects one fault; false if the POST failed or the signal could not be sent.
bool inject_fault(const load_fault& fault);

} // namespace acaciasill::net

#endif

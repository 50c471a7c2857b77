#ifndef ACACIASILL_LIB_MODEL_CALL_GRAPH_H
#define ACACIASILL_LIB_MODEL_CALL_GRAPH_H

#include "finding_collector.h"

namespace acaciasill::model {

// Checks that the call graph has no cycle and no chain longer than max_call_depth. Calls to unknown
// services are ignored here and reported by the reference check.
void check_call_graph(const configuration& set, finding_collector& collector);

} // namespace acaciasill::model

#endif

#ifndef ACACIASILL_LIB_MODEL_CALL_GRAPH_H
#define ACACIASILL_LIB_MODEL_CALL_GRAPH_H

#include "finding_log.h"

namespace acaciasill::model {

// Checks that no services call each other in a circle and that no chain is too deep. Calls to
// unknown services are left to the check of references.
void check_call_graph(const configuration& set, finding_log& log);

} // namespace acaciasill::model

#endif

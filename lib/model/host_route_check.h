#ifndef ACACIASILL_LIB_MODEL_HOST_ROUTE_CHECK_H
#define ACACIASILL_LIB_MODEL_HOST_ROUTE_CHECK_H

#include "finding_collector.h"

namespace acaciasill::model {

// Checks the fields of each host route, that no other route has the same host and path prefix, and
// that at least one target has a weight above 0.
void check_host_routes(const configuration& set, finding_collector& collector);

} // namespace acaciasill::model

#endif

#ifndef ACACIASILL_LIB_MODEL_HOST_ROUTE_CHECK_H
#define ACACIASILL_LIB_MODEL_HOST_ROUTE_CHECK_H

#include "finding_log.h"

namespace acaciasill::model {

// Checks the fields of each host route, that some request reaches it, and that some target takes
// it.
void check_host_routes(const configuration& set, finding_log& log);

} // namespace acaciasill::model

#endif

#ifndef ACACIASILL_LIB_MODEL_ROUTE_CHECK_H
#define ACACIASILL_LIB_MODEL_ROUTE_CHECK_H

#include "finding_log.h"

namespace acaciasill::model {

// Checks the fields of each route and that some call reaches it.
void check_routes(const configuration& set, finding_log& log);

} // namespace acaciasill::model

#endif

#ifndef ACACIASILL_LIB_MODEL_ROUTE_CHECK_H
#define ACACIASILL_LIB_MODEL_ROUTE_CHECK_H

#include "finding_collector.h"

namespace acaciasill::model {

// Checks the fields of each route and that calls can match it.
void check_routes(const configuration& set, finding_collector& collector);

} // namespace acaciasill::model

#endif

#ifndef ACACIASILL_MODEL_EMBEDDED_DEFAULTS_H
#define ACACIASILL_MODEL_EMBEDDED_DEFAULTS_H

#include <string_view>

#include "acaciasill/model/configuration.h"

namespace acaciasill::model {

// A small set for trying the system out: one data centre "local", the services "front", "middle"
// and "deep" that call one another in this order, a large and a small organisation, and three
// priorities. As YAML text.
std::string_view embedded_defaults_yaml();

// The same set, normalised, with generation 0.
configuration embedded_defaults();

} // namespace acaciasill::model

#endif

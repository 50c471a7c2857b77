#ifndef ACACIASILL_MODEL_EMBEDDED_DEFAULTS_H
#define ACACIASILL_MODEL_EMBEDDED_DEFAULTS_H

#include <string_view>

#include "acaciasill/model/configuration.h"

namespace acaciasill::model {

// Returns the YAML text of a small example set: one data centre "local"; the services "front",
// "middle" and "deep", where front calls middle and middle calls deep; a large and a small
// organisation; and three priority classes.
std::string_view embedded_defaults_yaml();

// Returns the same set, normalised, with generation 0.
configuration embedded_defaults();

} // namespace acaciasill::model

#endif

#ifndef ACACIASILL_MODEL_SET_ASIDE_H
#define ACACIASILL_MODEL_SET_ASIDE_H

#include <vector>

#include "acaciasill/model/configuration.h"
#include "acaciasill/model/settings_reader.h"

namespace acaciasill::model {

// Makes a set valid that another system has already accepted, so that an object that acaciasill
// cannot use does not keep the others out of force. A host route whose host and path prefix are
// valid becomes unusable, so that no shorter prefix matches its requests; keys that are invalid or
// have an earlier owner are removed from their organisation; any other invalid object is removed.
// Returns what was found, in the order of the passes. Findings about the set as a whole cannot be
// resolved; the set is then still invalid.
std::vector<finding> set_aside_invalid_objects(configuration& set);

} // namespace acaciasill::model

#endif

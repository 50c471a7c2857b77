#ifndef ACACIASILL_MODEL_VALIDATION_H
#define ACACIASILL_MODEL_VALIDATION_H

#include <string>
#include <vector>

#include "acaciasill/model/configuration.h"
#include "acaciasill/model/configuration_set.h"
#include "acaciasill/model/settings_reader.h"

// The check of a configuration set as a whole.
namespace acaciasill::model {

// The longest chain of services that may call one another, the first included.
inline constexpr std::size_t max_call_depth = 11;

// The longest name of an object, in bytes.
inline constexpr std::size_t max_name_size = 63;

// The methods that a route may name.
inline constexpr std::string_view route_methods[] = {"DELETE", "GET",  "HEAD", "OPTIONS",
                                                     "PATCH",  "POST", "PUT"};

// All that is wrong with the set: references, names, shares, limits against slots, ranks, the call
// graph and routes. The set is normalised. Findings carry the file and line of the object's source
// where there is one, else the name of the set.
std::vector<finding> validate(const configuration& set, const std::vector<object_source>& sources,
                              const std::string& set_name);

} // namespace acaciasill::model

#endif

#ifndef ACACIASILL_MODEL_VALIDATION_H
#define ACACIASILL_MODEL_VALIDATION_H

#include <string>
#include <vector>

#include "acaciasill/model/configuration.h"
#include "acaciasill/model/configuration_set.h"
#include "acaciasill/model/settings_reader.h"

// Validation of a complete configuration set.
namespace acaciasill::model {

// Largest number of services in a chain of calls, including the first.
inline constexpr std::size_t max_call_depth = 11;

// Longest name of an object in bytes. Names of organisations may be encoded from names of another
// system, which have to be recovered from them.
inline constexpr std::size_t max_name_size = 63;
inline constexpr std::size_t max_organisation_name_size = 1023;

// HTTP methods that a route may list.
inline constexpr std::string_view route_methods[] = {"DELETE", "GET",  "HEAD", "OPTIONS",
                                                     "PATCH",  "POST", "PUT"};

// Validates a normalised set: required objects, names, references, priority ranks, guaranteed
// shares, slots, limits, the call graph and routes. Returns all findings. A finding has the file
// and line of the object if its source is known, otherwise the name of the set and no line.
std::vector<finding> validate(const configuration& set, const std::vector<object_source>& sources,
                              const std::string& set_name);

} // namespace acaciasill::model

#endif

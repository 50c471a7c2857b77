#ifndef ACACIASILL_MODEL_FOREIGN_OBJECTS_H
#define ACACIASILL_MODEL_FOREIGN_OBJECTS_H

#include <string>
#include <string_view>
#include <vector>

// Conversion of names and weights of another system, which may contain any bytes and any numbers,
// to those of configuration objects.
namespace acaciasill::model {

// Returns a valid object name for a foreign name. A name that is already valid is returned
// unchanged; one that becomes longer than max_name_size ends with a hash. Different names have
// different results, except for equal hashes.
std::string encode_name(std::string_view foreign_name);

// Returns a name for an organisation, from which decode_name recovers the foreign name. Its length
// is not bounded, so that it may exceed max_organisation_name_size.
std::string encode_organisation(std::string_view foreign_name);

// Returns the foreign name for a name that encode_organisation returned.
std::string decode_name(std::string_view name);

// A service that gets a part of the requests of a route.
struct weighted_service {
  std::string service;
  double weight = 1.0;

  bool operator==(const weighted_service&) const = default;
};

// Returns the targets of a host route. Weights that are not whole numbers, or too large, are
// scaled, so that their proportions are kept. Weights below 0 count as 0.
std::vector<std::string> format_targets(const std::vector<weighted_service>& parts);

} // namespace acaciasill::model

#endif

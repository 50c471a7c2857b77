#ifndef ACACIASILL_SUPPORT_JSON_NUMBER_H
#define ACACIASILL_SUPPORT_JSON_NUMBER_H

#include <cstdint>
#include <limits>

#include <nlohmann/json_fwd.hpp>

// Strict reading of numbers in JSON documents that another program may have written.
namespace acaciasill::support {

// Returns the value as an integer from 0 to max. Throws nlohmann::json::out_of_range for any other
// value: the library itself converts negative numbers, fractions and numbers that are too large
// without an error.
std::uint64_t read_unsigned(const nlohmann::json& value, std::uint64_t max);

// As above, with the range of the type.
template <typename Unsigned>
Unsigned read_unsigned(const nlohmann::json& value) {
  return static_cast<Unsigned>(read_unsigned(value, std::numeric_limits<Unsigned>::max()));
}

// Returns the member of that name; null if there is none. The value is not copied, since copies of
// deeply nested values recurse.
const nlohmann::json* find_member(const nlohmann::json& object, const char* name);

// Reads the member of that name as above; 0 if there is none.
template <typename Unsigned>
Unsigned read_unsigned_member(const nlohmann::json& object, const char* name) {
  const auto* value = find_member(object, name);
  return value == nullptr ? Unsigned{0} : read_unsigned<Unsigned>(*value);
}

} // namespace acaciasill::support

#endif

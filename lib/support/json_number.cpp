#include "acaciasill/support/json_number.h"

#include <string>

#include <nlohmann/json.hpp>

namespace acaciasill::support {
namespace {

// Id of the library's own errors about numbers out of range.
constexpr int number_out_of_range_id = 406;

} // namespace

std::uint64_t read_unsigned(const nlohmann::json& value, std::uint64_t max) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max) {
    throw nlohmann::json::out_of_range::create(
        number_out_of_range_id, "expected an integer from 0 to " + std::to_string(max), &value);
  }
  return value.get<std::uint64_t>();
}

const nlohmann::json* find_member(const nlohmann::json& object, const char* name) {
  const auto found = object.find(name);
  return found == object.end() ? nullptr : &*found;
}

} // namespace acaciasill::support

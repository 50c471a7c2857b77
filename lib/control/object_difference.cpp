#include "object_difference.h"

#include <algorithm>

namespace acaciasill::control {

object_difference compare_objects(std::string_view base, std::string_view object) {
  const std::size_t shorter = std::min(base.size(), object.size());
  const auto front = std::mismatch(
      base.begin(), base.begin() + static_cast<std::ptrdiff_t>(shorter), object.begin());
  const auto prefix = static_cast<std::size_t>(front.first - base.begin());
  const auto rest = static_cast<std::ptrdiff_t>(shorter - prefix);
  const auto back = std::mismatch(base.rbegin(), base.rbegin() + rest, object.rbegin());
  const auto suffix = static_cast<std::size_t>(back.first - base.rbegin());
  return {static_cast<std::uint32_t>(prefix), static_cast<std::uint32_t>(suffix)};
}

std::string_view middle_of(std::string_view object, const object_difference& difference) {
  return object.substr(difference.prefix, object.size() - difference.prefix - difference.suffix);
}

std::string join_object(std::string_view base, const object_difference& difference,
                        std::string_view middle) {
  if (std::uint64_t{difference.prefix} + difference.suffix > base.size()) {
    return {};
  }
  std::string object(base.substr(0, difference.prefix));
  object += middle;
  object += base.substr(base.size() - difference.suffix);
  return object;
}

} // namespace acaciasill::control

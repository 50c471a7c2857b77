#ifndef ACACIASILL_LIB_CONTROL_OBJECT_DIFFERENCE_H
#define ACACIASILL_LIB_CONTROL_OBJECT_DIFFERENCE_H

#include <cstdint>
#include <string>
#include <string_view>

// Difference between two objects as a single replaced middle section. Suits canonical text in which
// a change touches one place.
namespace acaciasill::control {

// Maximum size in bytes of an object fetched from peers.
inline constexpr std::uint32_t max_object_bytes = 16U << 20U;

// Numbers of bytes that the object shares with the base at its start and end.
struct object_difference {
  std::uint32_t prefix = 0;
  std::uint32_t suffix = 0;

  bool operator==(const object_difference&) const = default;
};

// Computes the longest common prefix and suffix, which never overlap in either object.
object_difference compare_objects(std::string_view base, std::string_view object);

// Returns the bytes between the common prefix and suffix.
std::string_view middle_of(std::string_view object, const object_difference& difference);

// Reassembles an object. Returns an empty string if prefix and suffix exceed the base.
std::string join_object(std::string_view base, const object_difference& difference,
                        std::string_view middle);

} // namespace acaciasill::control

#endif

#ifndef ACACIASILL_LIB_CONTROL_OBJECT_DIFFERENCE_H
#define ACACIASILL_LIB_CONTROL_OBJECT_DIFFERENCE_H

#include <cstdint>
#include <string>
#include <string_view>

// The difference between two objects as one replaced middle part. It suits a canonical text in
// which a change touches one place.
namespace acaciasill::control {

// The largest object that is fetched from peers.
inline constexpr std::uint32_t max_object_bytes = 16U << 20U;

// How much of the base stands at both ends of the object.
struct object_difference {
  std::uint32_t prefix = 0;
  std::uint32_t suffix = 0;

  bool operator==(const object_difference&) const = default;
};

// The largest common ends, which never overlap in either object.
object_difference compare_objects(std::string_view base, std::string_view object);

// The bytes between the common ends.
std::string_view middle_of(std::string_view object, const object_difference& difference);

// Puts an object together; empty where the ends do not fit the base.
std::string join_object(std::string_view base, const object_difference& difference,
                        std::string_view middle);

} // namespace acaciasill::control

#endif

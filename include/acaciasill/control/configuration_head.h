#ifndef ACACIASILL_CONTROL_CONFIGURATION_HEAD_H
#define ACACIASILL_CONTROL_CONFIGURATION_HEAD_H

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace acaciasill::control {

// The table's row that names the configuration in force.
inline constexpr std::string_view configuration_head_key = "head/configuration";

// The largest value of the head row in bytes that a reader accepts.
inline constexpr std::size_t max_configuration_head_bytes = 4096;

// The value of the head row. It moves from generation n to n + 1 by a conditional write alone.
struct configuration_head {
  // 1 for the first set that is published.
  std::uint64_t generation = 0;
  // The SHA-256 digest of the published object in hexadecimal.
  std::string digest;
  // Random text that the publisher chose, by which it recognises its own write.
  std::string publication_token;
  // The revision of the operators' version control.
  std::string source_revision;
  // The digest of the object before; empty for generation 1.
  std::string previous_digest;

  bool operator==(const configuration_head&) const = default;
};

// Whether the text is a SHA-256 digest in lower-case hexadecimal.
bool is_digest(std::string_view text);

// The row's value as one line of JSON with sorted keys.
std::string encode_configuration_head(const configuration_head& head);

// Reads a row's value; platform_corrupt where it is no valid head.
absl::StatusOr<configuration_head> decode_configuration_head(std::string_view text);

} // namespace acaciasill::control

#endif

#ifndef ACACIASILL_CONTROL_CONFIGURATION_HEAD_H
#define ACACIASILL_CONTROL_CONFIGURATION_HEAD_H

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace acaciasill::control {

// Key of the table row that names the configuration in force.
inline constexpr std::string_view configuration_head_key = "head/configuration";

// Largest size of the head row's value, in bytes, that a reader accepts.
inline constexpr std::size_t max_configuration_head_bytes = 4096;

// Value of the head row. Only a conditional write advances it, from generation n to n + 1.
struct configuration_head {
  // Generation number; the first published set has 1.
  std::uint64_t generation = 0;
  // SHA-256 digest of the published object in hexadecimal.
  std::string digest;
  // Random text chosen by the publisher to recognise its own write.
  std::string publication_token;
  // Revision of the configuration in the operators' version control.
  std::string source_revision;
  // Digest of the previous generation's object; empty for generation 1.
  std::string previous_digest;

  bool operator==(const configuration_head&) const = default;
};

// Returns whether the text is a SHA-256 digest in lower-case hexadecimal.
bool is_digest(std::string_view text);

// Encodes the row's value as one line of JSON with sorted keys.
std::string encode_configuration_head(const configuration_head& head);

// Decodes a row's value; fails with platform_corrupt if it is not a valid head.
absl::StatusOr<configuration_head> decode_configuration_head(std::string_view text);

} // namespace acaciasill::control

#endif

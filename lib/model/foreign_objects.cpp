#include "acaciasill/model/foreign_objects.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <cstring>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

#include "acaciasill/model/snapshot.h"
#include "acaciasill/model/validation.h"
#include "acaciasill/support/hash.h"

namespace acaciasill::model {
namespace {

constexpr int escape_base = 16;

// Precedes the hash of a name that is too long when encoded. No other encoded name contains it,
// since it is the code of a letter that is not encoded.
constexpr char hash_mark[] = "x61";

// Whether the text begins like an encoded character, which has to be encoded itself so that the
// names stay distinct.
bool begins_escape(std::string_view text) {
  const auto is_digit = [](char letter) {
    return absl::ascii_isdigit(static_cast<unsigned char>(letter)) ||
           (letter >= 'a' && letter <= 'f');
  };
  return text.size() >= 3 && text[0] == 'x' && is_digit(text[1]) && is_digit(text[2]);
}

} // namespace

std::string encode_name(std::string_view foreign_name) {
  auto name = encode_organisation(foreign_name);
  if (name.size() > max_name_size) {
    const auto hash = absl::StrCat(absl::Hex(support::hash64(foreign_name), absl::kZeroPad16));
    name.resize(max_name_size - std::strlen(hash_mark) - hash.size());
    absl::StrAppend(&name, hash_mark, hash);
  }
  return name;
}

std::string encode_organisation(std::string_view foreign_name) {
  std::string name;
  for (std::size_t index = 0; index < foreign_name.size(); ++index) {
    const char letter = foreign_name[index];
    const bool allowed = absl::ascii_islower(static_cast<unsigned char>(letter)) ||
                         absl::ascii_isdigit(static_cast<unsigned char>(letter)) ||
                         (letter == '-' && !name.empty());
    if (allowed && !begins_escape(foreign_name.substr(index))) {
      name.push_back(letter);
    } else {
      absl::StrAppend(&name, "x", absl::Hex(static_cast<unsigned char>(letter), absl::kZeroPad2));
    }
  }
  return name;
}

std::string decode_name(std::string_view name) {
  std::string result;
  for (std::size_t index = 0; index < name.size(); ++index) {
    std::uint8_t letter = 0;
    if (begins_escape(name.substr(index))) {
      const auto* digits = name.data() + index + 1;
      std::from_chars(digits, digits + 2, letter, escape_base);
      index += 2;
    } else {
      letter = static_cast<std::uint8_t>(name[index]);
    }
    result.push_back(static_cast<char>(letter));
  }
  return result;
}

std::vector<std::string> format_targets(const std::vector<weighted_service>& parts) {
  double largest = 0.0;
  bool is_scaled = false;
  for (const auto& part : parts) {
    largest = std::max(largest, part.weight);
    is_scaled =
        is_scaled || part.weight != std::floor(part.weight) || part.weight > max_target_weight;
  }
  const double scale = is_scaled ? max_target_weight / largest : 1.0;
  std::vector<std::string> targets;
  for (const auto& part : parts) {
    const auto weight = part.weight <= 0.0 ? 0 : std::max(1L, std::lround(part.weight * scale));
    targets.push_back(absl::StrCat(part.service, "=", weight));
  }
  return targets;
}

} // namespace acaciasill::model

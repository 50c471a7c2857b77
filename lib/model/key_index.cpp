#include "acaciasill/model/key_index.h"

#include <algorithm>
#include <random>

#include "acaciasill/support/hash.h"

namespace acaciasill::model {
namespace {

// Number of leading characters that a masked key shows, and the length from which it shows any.
constexpr std::size_t shown_key_characters = 3;
constexpr std::size_t min_shown_key_size = 16;

std::uint64_t random_seed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::uint64_t hash_key(std::string_view key) {
  static const std::uint64_t seed = random_seed();
  return support::hash64(key, seed);
}

} // namespace

bool is_valid_key(std::string_view key) {
  return !key.empty() && key.size() <= max_key_size &&
         std::all_of(key.begin(), key.end(),
                     [](char letter) { return letter > ' ' && letter < '\x7f'; });
}

std::string masked_key(std::string_view key) {
  const auto shown = key.size() < min_shown_key_size ? 0 : shown_key_characters;
  return std::string(key.substr(0, shown)) + "***";
}

void mask_keys(configuration& set) {
  for (auto& organisation : set.organisations) {
    for (auto& key : organisation.keys) {
      key = masked_key(key);
    }
  }
}

key_index::key_index(const std::vector<organisation>& organisations) {
  for (std::uint32_t position = 0; position < organisations.size(); ++position) {
    for (const auto& key : organisations[position].keys) {
      owners_.emplace(hash_key(key), owner{key, position});
    }
  }
}

std::optional<std::uint32_t> key_index::find(std::string_view key) const {
  if (key.size() > max_key_size) {
    return std::nullopt;
  }
  std::optional<std::uint32_t> result;
  const auto [first, last] = owners_.equal_range(hash_key(key));
  for (auto entry = first; entry != last; ++entry) {
    if (support::constant_time_equal(entry->second.key, key)) {
      result = entry->second.organisation;
    }
  }
  return result;
}

} // namespace acaciasill::model

#ifndef ACACIASILL_MODEL_KEY_INDEX_H
#define ACACIASILL_MODEL_KEY_INDEX_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "acaciasill/model/configuration.h"

namespace acaciasill::model {

// Longest key in bytes.
inline constexpr std::size_t max_key_size = 256;

// Whether the text may be a key: printable ASCII characters without spaces, up to max_key_size.
bool is_valid_key(std::string_view key);

// Returns a form of the key for output, which does not identify it.
std::string masked_key(std::string_view key);

// Replaces the keys of all organisations by their masked forms.
void mask_keys(configuration& set);

// An immutable map from keys to the positions of their organisations. Keys are found by a hash with
// a seed of this process and compared in constant time, so that the time of a lookup tells nothing
// about the keys. Lookups do not allocate.
class key_index {
public:
  key_index() = default;
  explicit key_index(const std::vector<organisation>& organisations);

  // Returns the position of the organisation that has the key, or std::nullopt if none has.
  std::optional<std::uint32_t> find(std::string_view key) const;

  bool is_empty() const { return owners_.empty(); }

private:
  struct owner {
    std::string key;
    std::uint32_t organisation = 0;
  };

  std::unordered_multimap<std::uint64_t, owner> owners_;
};

} // namespace acaciasill::model

#endif

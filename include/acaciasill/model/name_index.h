#ifndef ACACIASILL_MODEL_NAME_INDEX_H
#define ACACIASILL_MODEL_NAME_INDEX_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acaciasill::model {

// An immutable hash map from names to their positions in a list. Lookups do not allocate.
class name_index {
public:
  name_index() = default;

  // Names should be distinct; for duplicates, find returns the first position.
  explicit name_index(std::vector<std::string> names);

  // Returns the position of the name, or std::nullopt if it is absent.
  std::optional<std::uint32_t> find(std::string_view name) const;

  std::size_t size() const { return names_.size(); }

private:
  std::vector<std::string> names_;
  // Hash table with open addressing and a power-of-two size. A bucket holds a position plus one, or
  // 0 if it is empty.
  std::vector<std::uint32_t> buckets_;
};

} // namespace acaciasill::model

#endif

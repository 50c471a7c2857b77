#ifndef ACACIASILL_MODEL_NAME_INDEX_H
#define ACACIASILL_MODEL_NAME_INDEX_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acaciasill::model {

// An immutable map from names to dense indexes, 0 for the first name. Lookups allocate nothing.
class name_index {
public:
  name_index() = default;

  // The names are distinct; of equal ones the first is found.
  explicit name_index(std::vector<std::string> names);

  // The index of the name, or nothing.
  std::optional<std::uint32_t> find(std::string_view name) const;

  std::size_t size() const { return names_.size(); }

private:
  std::vector<std::string> names_;
  // Open addressing with a power of two of places; a place holds an index plus one, or 0.
  std::vector<std::uint32_t> places_;
};

} // namespace acaciasill::model

#endif

#include "acaciasill/model/name_index.h"

#include <bit>
#include <utility>

#include "acaciasill/support/hash.h"

namespace acaciasill::model {

name_index::name_index(std::vector<std::string> names) : names_(std::move(names)) {
  // At most half of the places are taken, so that probes stay short.
  places_.assign(std::bit_ceil(names_.size() * 2 + 1), 0);
  for (std::size_t i = 0; i < names_.size(); ++i) {
    if (find(names_[i])) {
      continue;
    }
    std::size_t place = support::hash64(names_[i]) & (places_.size() - 1);
    while (places_[place] != 0) {
      place = (place + 1) & (places_.size() - 1);
    }
    places_[place] = static_cast<std::uint32_t>(i) + 1;
  }
}

std::optional<std::uint32_t> name_index::find(std::string_view name) const {
  if (places_.empty()) {
    return std::nullopt;
  }
  std::size_t place = support::hash64(name) & (places_.size() - 1);
  while (places_[place] != 0) {
    const std::uint32_t index = places_[place] - 1;
    if (names_[index] == name) {
      return index;
    }
    place = (place + 1) & (places_.size() - 1);
  }
  return std::nullopt;
}

} // namespace acaciasill::model

#include "acaciasill/model/name_index.h"

#include <bit>
#include <utility>

#include "acaciasill/support/hash.h"

namespace acaciasill::model {

name_index::name_index(std::vector<std::string> names) : names_(std::move(names)) {
  // A load factor of at most one half keeps probe sequences short.
  buckets_.assign(std::bit_ceil(names_.size() * 2 + 1), 0);
  for (std::size_t i = 0; i < names_.size(); ++i) {
    if (find(names_[i])) {
      continue;
    }
    std::size_t bucket = support::hash64(names_[i]) & (buckets_.size() - 1);
    while (buckets_[bucket] != 0) {
      bucket = (bucket + 1) & (buckets_.size() - 1);
    }
    buckets_[bucket] = static_cast<std::uint32_t>(i) + 1;
  }
}

std::optional<std::uint32_t> name_index::find(std::string_view name) const {
  if (buckets_.empty()) {
    return std::nullopt;
  }
  std::size_t bucket = support::hash64(name) & (buckets_.size() - 1);
  while (buckets_[bucket] != 0) {
    const std::uint32_t index = buckets_[bucket] - 1;
    if (names_[index] == name) {
      return index;
    }
    bucket = (bucket + 1) & (buckets_.size() - 1);
  }
  return std::nullopt;
}

} // namespace acaciasill::model

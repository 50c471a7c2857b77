#include "acaciasill/board/slot_registry.h"

#include <algorithm>
#include <cassert>

namespace acaciasill::board {

slot_registry::slot_registry(std::uint32_t capacity) : capacity_(capacity) {
  assert(capacity > 0 && "a registry has at least the shared slot");
}

std::uint32_t slot_registry::slot_of(const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto next = static_cast<std::uint32_t>(slots_.size());
  const auto [entry, added] = slots_.try_emplace(name, std::min(next, capacity_ - 1));
  const std::uint32_t slot = entry->second;
  if (added && slot == capacity_ - 1) {
    // Names on the shared slot are not stored, so that the table stays bounded.
    slots_.erase(entry);
  }
  return slot;
}

} // namespace acaciasill::board

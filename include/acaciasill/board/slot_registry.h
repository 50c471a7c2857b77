#ifndef ACACIASILL_BOARD_SLOT_REGISTRY_H
#define ACACIASILL_BOARD_SLOT_REGISTRY_H

#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

// Stable small indices (slots) for names. A snapshot renumbers its names with each generation;
// counters that outlive a generation are indexed by slot instead.
namespace acaciasill::board {

// Assigns slots in the order of first use and keeps them for the lifetime of the process. Called by
// controllers; request threads read the slots from a view.
class slot_registry {
public:
  // Slots run from 0 to capacity - 1. All names registered after the others are taken share the
  // last slot.
  explicit slot_registry(std::uint32_t capacity);

  // Returns the slot of the name and assigns one on first use.
  std::uint32_t slot_of(const std::string& name);

  std::uint32_t capacity() const { return capacity_; }

private:
  std::mutex mutex_;
  std::unordered_map<std::string, std::uint32_t> slots_;
  std::uint32_t capacity_;
};

} // namespace acaciasill::board

#endif

#ifndef ACACIASILL_BOARD_SLOT_REGISTRY_H
#define ACACIASILL_BOARD_SLOT_REGISTRY_H

#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

// Stable small numbers for names. A snapshot numbers its names anew with each generation; counters
// that outlive a generation are addressed by these slots instead.
namespace acaciasill::board {

// Hands out slots in the order of first use and keeps them for the process's life. Controllers
// call it; request threads read the slots from a view.
class slot_registry {
public:
  // Slots run from 0 to capacity - 1. The last slot is shared by all names that came too late.
  explicit slot_registry(std::uint32_t capacity);

  // The slot of a name.
  std::uint32_t slot_of(const std::string& name);

  std::uint32_t capacity() const { return capacity_; }

private:
  std::mutex mutex_;
  std::unordered_map<std::string, std::uint32_t> slots_;
  std::uint32_t capacity_;
};

} // namespace acaciasill::board

#endif

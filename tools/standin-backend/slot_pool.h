#ifndef STANDIN_BACKEND_SLOT_POOL_H
#define STANDIN_BACKEND_SLOT_POOL_H

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>

namespace acaciasill::standin {

// Something that waits for a slot.
class slot_waiter {
public:
  slot_waiter() = default;
  slot_waiter(const slot_waiter&) = delete;
  slot_waiter& operator=(const slot_waiter&) = delete;
  virtual ~slot_waiter() = default;

  // The slot is granted; the waiter gives it back with slot_pool::leave.
  virtual void start() = 0;
};

// What becomes of one who asks for a slot.
enum class slot_grant : std::uint8_t { started, queued, refused };

// The bounds of a pool. An unbounded pool grants every slot and only counts.
struct slot_bounds {
  std::uint32_t slots = 1;
  std::uint32_t queue = 0;
  bool unbounded = false;

  bool operator==(const slot_bounds&) const = default;
};

// The slots of one server, with a queue in the order of arrival. Thread-safe.
class slot_pool {
public:
  explicit slot_pool(slot_bounds bounds) : bounds_(bounds) {}

  // Asks for a slot; one that is queued is started later through leave's return value.
  slot_grant enter(const std::shared_ptr<slot_waiter>& waiter);

  // Gives a slot back and returns the waiter that now holds it, or nothing.
  std::shared_ptr<slot_waiter> leave();

  // Takes a waiter out of the queue; false where it is no longer there.
  bool withdraw(const slot_waiter* waiter);

  std::uint32_t in_use() const;

  const slot_bounds& bounds() const { return bounds_; }

private:
  slot_bounds bounds_;
  mutable std::mutex mutex_;
  std::uint32_t in_use_ = 0;
  std::deque<std::shared_ptr<slot_waiter>> queue_;
};

} // namespace acaciasill::standin

#endif

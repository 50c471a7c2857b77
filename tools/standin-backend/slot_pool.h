#ifndef STANDIN_BACKEND_SLOT_POOL_H
#define STANDIN_BACKEND_SLOT_POOL_H

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>

namespace acaciasill::standin {

// Interface of a call that waits for a slot.
class slot_waiter {
public:
  slot_waiter() = default;
  slot_waiter(const slot_waiter&) = delete;
  slot_waiter& operator=(const slot_waiter&) = delete;
  virtual ~slot_waiter() = default;

  // Called when the waiter gets a slot; the waiter has to return it with slot_pool::release.
  virtual void on_slot_granted() = 0;
};

// Result of requesting a slot.
enum class acquire_result : std::uint8_t { granted, queued, refused };

// Limits of a pool. An unbounded pool grants every request and only counts.
struct slot_bounds {
  std::uint32_t slots = 1;
  std::uint32_t queue = 0;
  bool unbounded = false;

  bool operator==(const slot_bounds&) const = default;
};

// Slots of a server, with a bounded FIFO queue. Thread-safe.
class slot_pool {
public:
  explicit slot_pool(slot_bounds bounds) : bounds_(bounds) {}

  // Requests a slot. A queued waiter gets its slot when a later release() returns it.
  acquire_result acquire(const std::shared_ptr<slot_waiter>& waiter);

  // Returns a slot. If a waiter is queued, the slot passes to the first one, which is returned and
  // on which the caller has to call on_slot_granted().
  std::shared_ptr<slot_waiter> release();

  // Removes a waiter from the queue; false if it is not queued.
  bool remove_waiter(const slot_waiter* waiter);

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

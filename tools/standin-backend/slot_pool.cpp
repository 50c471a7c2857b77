#include "slot_pool.h"

#include <algorithm>

namespace acaciasill::standin {

acquire_result slot_pool::acquire(const std::shared_ptr<slot_waiter>& waiter) {
  const std::lock_guard lock(mutex_);
  if (bounds_.unbounded || in_use_ < bounds_.slots) {
    ++in_use_;
    return acquire_result::granted;
  }
  if (queue_.size() >= bounds_.queue) {
    return acquire_result::refused;
  }
  queue_.push_back(waiter);
  return acquire_result::queued;
}

std::shared_ptr<slot_waiter> slot_pool::release() {
  const std::lock_guard lock(mutex_);
  if (queue_.empty()) {
    --in_use_;
    return nullptr;
  }
  auto next = std::move(queue_.front());
  queue_.pop_front();
  return next;
}

bool slot_pool::remove_waiter(const slot_waiter* waiter) {
  const std::lock_guard lock(mutex_);
  const auto is_waiter = [waiter](const auto& queued) { return queued.get() == waiter; };
  const auto found = std::find_if(queue_.begin(), queue_.end(), is_waiter);
  if (found == queue_.end()) {
    return false;
  }
  queue_.erase(found);
  return true;
}

std::uint32_t slot_pool::in_use() const {
  const std::lock_guard lock(mutex_);
  return in_use_;
}

} // namespace acaciasill::standin

#include "slot_pool.h"

#include <algorithm>

namespace acaciasill::standin {

slot_grant slot_pool::enter(const std::shared_ptr<slot_waiter>& waiter) {
  const std::lock_guard lock(mutex_);
  if (bounds_.unbounded || in_use_ < bounds_.slots) {
    ++in_use_;
    return slot_grant::started;
  }
  if (queue_.size() >= bounds_.queue) {
    return slot_grant::refused;
  }
  queue_.push_back(waiter);
  return slot_grant::queued;
}

std::shared_ptr<slot_waiter> slot_pool::leave() {
  const std::lock_guard lock(mutex_);
  if (queue_.empty()) {
    --in_use_;
    return nullptr;
  }
  auto next = std::move(queue_.front());
  queue_.pop_front();
  return next;
}

bool slot_pool::withdraw(const slot_waiter* waiter) {
  const std::lock_guard lock(mutex_);
  const auto is_waiter = [waiter](const auto& queued) { return queued.get() == waiter; };
  const auto place = std::find_if(queue_.begin(), queue_.end(), is_waiter);
  if (place == queue_.end()) {
    return false;
  }
  queue_.erase(place);
  return true;
}

std::uint32_t slot_pool::in_use() const {
  const std::lock_guard lock(mutex_);
  return in_use_;
}

} // namespace acaciasill::standin

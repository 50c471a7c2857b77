#ifndef ACACIASILL_BOARD_RCU_CELL_H
#define ACACIASILL_BOARD_RCU_CELL_H

#include <atomic>
#include <functional>
#include <memory>
#include <utility>

// Read-copy-update publication of immutable values to request threads, on liburcu.
namespace acaciasill::board {

// Registers the calling thread as a reader for the lifetime of the object. Every thread that reads
// an rcu_cell has to hold one.
class rcu_reader_thread {
public:
  rcu_reader_thread();
  ~rcu_reader_thread();
  rcu_reader_thread(const rcu_reader_thread&) = delete;
  rcu_reader_thread& operator=(const rcu_reader_thread&) = delete;
};

// Read-side critical section. It never blocks; values read within it stay valid until it ends.
class rcu_read_guard {
public:
  rcu_read_guard();
  ~rcu_read_guard();
  rcu_read_guard(const rcu_read_guard&) = delete;
  rcu_read_guard& operator=(const rcu_read_guard&) = delete;
};

// Calls the function on a liburcu thread after a grace period, i.e. once every read-side critical
// section that is open now has ended. It does not block, so that a stalled reader cannot stall a
// control thread. The calling thread has to be registered as a reader.
void call_after_grace_period(std::function<void()> release);

// Blocks until all functions deferred so far have been called. Must not be called within a
// read-side critical section.
void wait_for_deferred_releases();

// Pointer to an immutable value that writers replace as a whole.
template <typename T>
class rcu_cell {
public:
  explicit rcu_cell(std::unique_ptr<const T> first) : value_(first.release()) {}
  ~rcu_cell() { delete value_.load(std::memory_order_acquire); }
  rcu_cell(const rcu_cell&) = delete;
  rcu_cell& operator=(const rcu_cell&) = delete;

  // Returns the current value, which stays valid until the guard is destroyed.
  const T& read(const rcu_read_guard& /*guard*/) const {
    return *value_.load(std::memory_order_acquire);
  }

  // Replaces the value. The previous value is freed after a grace period. Called by controllers.
  void publish(std::unique_ptr<const T> next) {
    const T* previous = value_.exchange(next.release(), std::memory_order_acq_rel);
    call_after_grace_period([previous] { delete previous; });
  }

private:
  std::atomic<const T*> value_;
};

} // namespace acaciasill::board

#endif

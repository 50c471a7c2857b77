#ifndef ACACIASILL_BOARD_RCU_CELL_H
#define ACACIASILL_BOARD_RCU_CELL_H

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

// Read-copy-update publication of immutable values to request threads, on liburcu.
namespace acaciasill::board {

// Registers the calling thread as a reader for as long as the object lives. Every thread that reads
// an rcu_cell holds one.
class rcu_reader_thread {
public:
  rcu_reader_thread();
  ~rcu_reader_thread();
  rcu_reader_thread(const rcu_reader_thread&) = delete;
  rcu_reader_thread& operator=(const rcu_reader_thread&) = delete;
};

// A read-side critical section. It never blocks; values read inside it stay valid until it ends.
class rcu_read_guard {
public:
  rcu_read_guard();
  ~rcu_read_guard();
  rcu_read_guard(const rcu_read_guard&) = delete;
  rcu_read_guard& operator=(const rcu_read_guard&) = delete;
};

// Waits until every read-side critical section that is open now has ended.
void wait_for_readers();

// A pointer to an immutable value that writers replace as a whole.
template <typename T>
class rcu_cell {
public:
  explicit rcu_cell(std::unique_ptr<const T> first) : value_(first.release()) {}
  ~rcu_cell() { delete value_.load(std::memory_order_acquire); }
  rcu_cell(const rcu_cell&) = delete;
  rcu_cell& operator=(const rcu_cell&) = delete;

  // The present value; valid until the guard ends.
  const T& read(const rcu_read_guard& /*guard*/) const {
    return *value_.load(std::memory_order_acquire);
  }

  // Replaces the value and frees the old one once no reader holds it. Called by controllers, never
  // on a request's path, since it waits for readers.
  void publish(std::unique_ptr<const T> next) {
    const std::lock_guard lock(writers_);
    const std::unique_ptr<const T> previous(
        value_.exchange(next.release(), std::memory_order_acq_rel));
    wait_for_readers();
  }

private:
  std::atomic<const T*> value_;
  std::mutex writers_;
};

} // namespace acaciasill::board

#endif

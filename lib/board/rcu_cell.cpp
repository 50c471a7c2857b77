#include "acaciasill/board/rcu_cell.h"

#include <atomic>
#include <memory>

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace acaciasill::board {
namespace {

// liburcu orders readers and writers by barriers that ThreadSanitizer cannot see. These annotations
// tell it that the end of a read-side critical section, and the deferral of a release, happen
// before the release runs.
#if defined(__SANITIZE_THREAD__)
int reader_order = 0;
void note_reader_done() {
  __tsan_release(&reader_order);
}
void note_readers_waited_for() {
  __tsan_acquire(&reader_order);
}
#else
void note_reader_done() {}
void note_readers_waited_for() {}
#endif

// Function deferred until after a grace period. liburcu links such functions by their base class.
struct waiting_release : rcu_head {
  std::function<void()> release;
};

void run_release(rcu_head* head) {
  note_readers_waited_for();
  const std::unique_ptr<waiting_release> waiting(static_cast<waiting_release*>(head));
  waiting->release();
}

} // namespace

rcu_reader_thread::rcu_reader_thread() {
  urcu_memb_register_thread();
}

rcu_reader_thread::~rcu_reader_thread() {
  urcu_memb_unregister_thread();
}

rcu_read_guard::rcu_read_guard() {
  urcu_memb_read_lock();
}

rcu_read_guard::~rcu_read_guard() {
  note_reader_done();
  urcu_memb_read_unlock();
}

void when_readers_are_done(std::function<void()> release) {
  auto waiting = std::make_unique<waiting_release>();
  waiting->release = std::move(release);
  note_reader_done();
  // liburcu owns the object until it calls back.
  urcu_memb_call_rcu(waiting.release(), run_release);
}

void wait_for_releases() {
  // Releases run in the order of deferral. The flag is shared since notify_one may still use it
  // after the waiting thread has returned.
  const auto done = std::make_shared<std::atomic_flag>();
  when_readers_are_done([done] {
    done->test_and_set();
    done->notify_one();
  });
  done->wait(false);
}

} // namespace acaciasill::board

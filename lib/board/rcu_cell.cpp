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
int tsan_sync_address = 0;
void tsan_annotate_release() {
  __tsan_release(&tsan_sync_address);
}
void tsan_annotate_acquire() {
  __tsan_acquire(&tsan_sync_address);
}
#else
void tsan_annotate_release() {}
void tsan_annotate_acquire() {}
#endif

// Function deferred until after a grace period. liburcu links such functions by their base class.
struct deferred_release : rcu_head {
  std::function<void()> release;
};

void run_deferred_release(rcu_head* head) {
  tsan_annotate_acquire();
  const std::unique_ptr<deferred_release> waiting(static_cast<deferred_release*>(head));
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
  tsan_annotate_release();
  urcu_memb_read_unlock();
}

void call_after_grace_period(std::function<void()> release) {
  auto waiting = std::make_unique<deferred_release>();
  waiting->release = std::move(release);
  tsan_annotate_release();
  // liburcu owns the object until it calls back.
  urcu_memb_call_rcu(waiting.release(), run_deferred_release);
}

void wait_for_deferred_releases() {
  // Releases run in the order of deferral. The flag is shared since notify_one may still use it
  // after the waiting thread has returned.
  const auto done = std::make_shared<std::atomic_flag>();
  call_after_grace_period([done] {
    done->test_and_set();
    done->notify_one();
  });
  done->wait(false);
}

} // namespace acaciasill::board

#include "acaciasill/board/rcu_cell.h"

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace acaciasill::board {
namespace {

// liburcu orders readers and writers by barriers that the thread sanitizer cannot see; it is told
// that the end of a reader's section happens before the writer goes on.
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

void wait_for_readers() {
  urcu_memb_synchronize_rcu();
  note_readers_waited_for();
}

} // namespace acaciasill::board

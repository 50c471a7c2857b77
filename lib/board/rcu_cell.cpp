#include "acaciasill/board/rcu_cell.h"

#include <urcu/urcu-memb.h>

namespace acaciasill::board {

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
  urcu_memb_read_unlock();
}

void wait_for_readers() {
  urcu_memb_synchronize_rcu();
}

} // namespace acaciasill::board

#ifndef ACACIASILL_LIB_DAEMON_UPSTREAM_QUEUE_H
#define ACACIASILL_LIB_DAEMON_UPSTREAM_QUEUE_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include <asio/steady_timer.hpp>

#include "acaciasill/decide/concurrency_limit.h"
#include "acaciasill/decide/threshold_controller.h"
#include "acaciasill/decide/wait_queue.h"
#include "acaciasill/support/result_code.h"

namespace acaciasill::board {
struct call_board;
}

// The queue in front of the local backend server and the periodic control of its thresholds and
// limit. Everything but the public functions runs on one thread, the queue's.
namespace acaciasill::daemon {

struct request_thread;

// Names a call by its home thread and its id there.
struct queue_handle {
  std::size_t thread = 0;
  std::uint64_t call = 0;

  auto operator<=>(const queue_handle&) const = default;
};

// What the queue tells, on its thread.
struct queue_callbacks {
  // The call has a slot now.
  std::function<void(queue_handle)> on_run;
  // The call was given up and has no slot.
  std::function<void(queue_handle, support::result_code)> on_drop;
};

class upstream_queue {
public:
  upstream_queue(board::call_board& board, request_thread& owner, queue_callbacks callbacks);

  // Starts the periodic control. Before the threads run.
  void start();

  // Each of these may be called from any request thread.
  void add(queue_handle call, const decide::request_facts& facts);
  void remove(queue_handle call);
  void slot_came_free(std::uint32_t organisation);
  // A call that on_run named has taken its slot over.
  void settled(queue_handle call);
  // A call that on_run named is gone; its slot is given back.
  void release_abandoned(queue_handle call);
  void backend_announced(bool cold);
  // Gives up all calls that wait.
  void drop_all(support::result_code code);

private:
  // A call that waits, or that was named by on_run and has not taken its slot over yet.
  struct queue_entry {
    decide::queue_ticket ticket;
    std::uint32_t organisation = 0;
  };

  void add_here(queue_handle call, const decide::request_facts& facts);
  void remove_here(queue_handle call);
  void run_next(std::optional<std::uint32_t> finished_organisation);
  void report_dropped();
  void arm_drop_timer();
  void arm_control_timer();
  void control();
  void control_limit(support::time_point now);

  board::call_board& board_;
  request_thread& owner_;
  queue_callbacks callbacks_;
  decide::wait_queue queue_;
  std::map<queue_handle, queue_entry> entries_;
  std::vector<decide::dropped_call> dropped_;
  decide::threshold_controller controller_;
  decide::limit_state limit_state_;
  support::time_point limit_sampled_;
  asio::steady_timer drop_timer_;
  asio::steady_timer control_timer_;
};

} // namespace acaciasill::daemon

#endif

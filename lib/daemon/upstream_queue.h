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
// concurrency limit. Everything except the public functions runs on the queue's owner thread.
namespace acaciasill::daemon {

struct request_thread;

// Identifies a call by its home thread and its id on that thread.
struct queue_handle {
  std::size_t thread = 0;
  std::uint64_t call = 0;

  auto operator<=>(const queue_handle&) const = default;
};

// Notifications from the queue, called on its owner thread.
struct queue_callbacks {
  // Called when a call has been assigned a slot.
  std::function<void(queue_handle)> on_run;
  // Called when a call has been dropped without a slot.
  std::function<void(queue_handle, support::result_code)> on_drop;
};

class upstream_queue {
public:
  upstream_queue(board::call_board& board, request_thread& owner, queue_callbacks callbacks);

  // Starts the periodic control. Must be called before the threads run.
  void start();

  // The following functions may be called from any request thread.
  void add(queue_handle call, const decide::request_facts& facts);
  void remove(queue_handle call);
  void slot_released(std::uint32_t organisation);
  // Confirms that a call passed to on_run has taken over its slot.
  void slot_taken(queue_handle call);
  // Releases the slot of a call that was cancelled after it was passed to on_run.
  void release_cancelled(queue_handle call);
  void backend_announced(bool cold);
  // Drops all queued calls.
  void drop_all(support::result_code code);

private:
  // A call that is queued, or that was passed to on_run and has not taken over its slot yet.
  struct queue_entry {
    decide::queue_ticket ticket;
    std::uint32_t organisation = 0;
  };

  void add_on_owner(queue_handle call, const decide::request_facts& facts);
  void remove_on_owner(queue_handle call);
  void run_next(std::optional<std::uint32_t> finished_organisation);
  void report_dropped();
  void arm_drop_timer();
  void arm_permit_timer();
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
  support::time_point last_limit_sample_;
  asio::steady_timer drop_timer_;
  // Expires when the rate limit allows the next call to start; armed while calls wait for that.
  asio::steady_timer permit_timer_;
  bool permit_timer_armed_ = false;
  asio::steady_timer control_timer_;
};

} // namespace acaciasill::daemon

#endif

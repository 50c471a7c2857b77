#ifndef ACACIASILL_DAEMON_CONTROL_LOOP_H
#define ACACIASILL_DAEMON_CONTROL_LOOP_H

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "acaciasill/control/node.h"
#include "acaciasill/daemon/publishers.h"
#include "acaciasill/support/random.h"

namespace acaciasill::board {
struct call_board;
}

// Event loop for the control plane of one daemon: feeds events with the system's time to the node
// state machine and executes its actions.
namespace acaciasill::daemon {

class call_metrics;

// Handlers for actions with effects outside this class.
struct control_callbacks {
  std::function<void(const control::send_datagram&)> send;
  std::function<void(const control::platform_request&)> send_platform_request;
  // Called when no calls are in flight and the other members have been notified, so that the
  // process may exit.
  std::function<void()> on_ready_to_exit;
};

// All functions run on the thread of the context.
class control_loop {
public:
  control_loop(asio::io_context& context, board::call_board& board, call_metrics& metrics,
               const control::node_settings& settings, std::uint64_t seed,
               control_callbacks callbacks);

  // Processes an event and executes the resulting actions.
  void handle(const control::event& input);

  // Returns the node's status.
  control::node_status status() const { return control::describe_node(*node_); }

  // Returns the member view that is currently in force.
  const control::cluster_view& view() const { return view_; }

private:
  void process(const control::event& input);
  void execute(const control::action& action);
  void perform(const control::send_datagram& action);
  void perform(const control::platform_request& action);
  void perform(const control::set_timer& action);
  void perform(const control::publish_view& action);
  void perform(const control::publish_configuration& action);
  void perform(const control::log_line& action);
  void perform(const control::ready_to_exit& action);

  board::call_board& board_;
  call_metrics& metrics_;
  control_callbacks callbacks_;
  control::node_state_ptr node_;
  support::random_source random_;
  asio::steady_timer timer_;
  routing_publisher routing_;
  control::cluster_view view_;
  // Events raised while actions are executed. They are deferred until all of these actions are
  // done, so that an older view never replaces a later one.
  std::deque<control::event> deferred_;
  bool handling_ = false;
};

} // namespace acaciasill::daemon

#endif

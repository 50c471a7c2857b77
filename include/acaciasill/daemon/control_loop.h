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

// Drives the control part of one daemon: gives it events with the machine's time and carries out
// its actions.
namespace acaciasill::daemon {

class call_metrics;

// Where actions that leave the process go.
struct control_sinks {
  std::function<void(const control::send_datagram&)> send;
  std::function<void(const control::platform_request&)> ask_platform;
  // The node may exit: nothing is in flight and the others were told.
  std::function<void()> on_ready_to_exit;
};

// All functions run on the thread of the context.
class control_loop {
public:
  control_loop(asio::io_context& context, board::call_board& board, call_metrics& metrics,
               const control::node_settings& settings, std::uint64_t seed, control_sinks sinks);

  // Gives an event to the node and carries out what follows.
  void handle(const control::event& input);

  // What the node tells of itself.
  control::node_status status() const { return control::describe_node(*node_); }

  // The members in force.
  const control::cluster_view& view() const { return view_; }

private:
  void take(const control::event& input);
  void carry_out(const control::action& action);
  void perform(const control::send_datagram& action);
  void perform(const control::platform_request& action);
  void perform(const control::set_timer& action);
  void perform(const control::publish_view& action);
  void perform(const control::publish_configuration& action);
  void perform(const control::log_line& action);
  void perform(const control::ready_to_exit& action);

  board::call_board& board_;
  call_metrics& metrics_;
  control_sinks sinks_;
  control::node_state_ptr node_;
  support::random_source random_;
  asio::steady_timer timer_;
  routing_publisher routing_;
  control::cluster_view view_;
  // Events that arose while actions were carried out; they wait until all of these are done, so
  // that a later view is never followed by an older one.
  std::deque<control::event> waiting_;
  bool handling_ = false;
};

} // namespace acaciasill::daemon

#endif

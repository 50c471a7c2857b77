#include "acaciasill/daemon/control_loop.h"

#include <utility>
#include <variant>

#include "acaciasill/board/call_board.h"
#include "acaciasill/daemon/call_metrics.h"
#include "acaciasill/model/configuration_set.h"
#include "acaciasill/support/log.h"

namespace acaciasill::daemon {
namespace {

control::services_configured call_graph(const model::configuration& set) {
  control::services_configured graph;
  for (const auto& service : set.services) {
    graph.services.push_back({service.name, service.calls});
  }
  return graph;
}

} // namespace

control_loop::control_loop(asio::io_context& context, board::call_board& board,
                           call_metrics& metrics, const control::node_settings& settings,
                           std::uint64_t seed, control_callbacks callbacks)
    : board_(board), metrics_(metrics), callbacks_(std::move(callbacks)),
      node_(control::make_node(settings)), random_(seed),
      timer_(context), routing_{settings.name, settings.data_centre, {}} {}

void control_loop::handle(const control::event& input) {
  deferred_.push_back(input);
  if (handling_) {
    return;
  }
  handling_ = true;
  while (!deferred_.empty()) {
    const auto next = std::move(deferred_.front());
    deferred_.pop_front();
    process(next);
  }
  handling_ = false;
}

void control_loop::process(const control::event& input) {
  std::vector<control::action> actions;
  control::step(*node_, input, support::monotonic_now(), random_, actions);
  for (const auto& action : actions) {
    execute(action);
  }
}

void control_loop::execute(const control::action& action) {
  std::visit([this](const auto& alternative) { perform(alternative); }, action);
}

void control_loop::perform(const control::send_datagram& action) {
  callbacks_.send(action);
}

void control_loop::perform(const control::platform_request& action) {
  callbacks_.send_platform_request(action);
}

void control_loop::perform(const control::set_timer& action) {
  timer_.expires_after(support::time_until(action.at));
  timer_.async_wait([this](asio::error_code error) {
    if (!error) {
      handle(control::timer_fired{});
    }
  });
}

void control_loop::perform(const control::publish_view& action) {
  view_ = action.view;
  board_.leaving.store(view_.leaving, std::memory_order_release);
  board_.gate.draining.store(view_.leaving, std::memory_order_release);
  publish_routing(board_, routing_, view_, support::monotonic_now());
}

void control_loop::perform(const control::publish_configuration& action) {
  auto set = model::parse_set(action.bytes);
  if (!set.ok()) {
    support::write_log(support::log_level::error, "configuration",
                       "cannot parse configuration set: " + std::string(set.status().message()));
    return;
  }
  set->generation = action.generation;
  const auto graph = call_graph(*set);
  const auto status = publish_configuration(board_, metrics_, *std::move(set), action.digest);
  if (!status.ok()) {
    support::write_log(support::log_level::error, "configuration",
                       "invalid configuration set: " + std::string(status.message()));
    return;
  }
  support::write_log(support::log_level::info, "configuration",
                     "generation " + std::to_string(action.generation) + " is in force");
  publish_routing(board_, routing_, view_, support::monotonic_now());
  handle(graph);
}

void control_loop::perform(const control::log_line& action) {
  support::write_log(action.level, action.part, action.text);
}

void control_loop::perform(const control::ready_to_exit& /*action*/) {
  callbacks_.on_ready_to_exit();
}

} // namespace acaciasill::daemon

#include "acaciasill/daemon/backend_registry.h"

#include <memory>
#include <utility>

#include <nlohmann/json.hpp>

#include "acaciasill/board/call_board.h"
#include "acaciasill/control/backend_state.h"
#include "acaciasill/daemon/publishers.h"
#include "acaciasill/support/json_number.h"
#include "acaciasill/support/result_code.h"
#include "acaciasill/support/socket_address.h"

namespace acaciasill::daemon {
namespace {

constexpr std::size_t max_name_bytes = 256;

// Returns the announcement without its load report, which differs in each heartbeat.
backend_announcement without_load_report(backend_announcement announcement) {
  announcement.in_flight.reset();
  announcement.cold = false;
  return announcement;
}

bool is_usable(const backend_announcement& announcement) {
  return !announcement.service.empty() && announcement.service.size() <= max_name_bytes &&
         announcement.slots <= control::max_server_slots &&
         support::is_server_address(announcement.address);
}

} // namespace

absl::StatusOr<backend_announcement> parse_announcement(std::string_view body) {
  try {
    const auto json = nlohmann::json::parse(body);
    backend_announcement announcement;
    announcement.service = json.at("service").get<std::string>();
    announcement.address = json.at("address").get<std::string>();
    announcement.slots = support::read_unsigned_member<std::uint32_t>(json, "slots");
    announcement.connections = support::read_unsigned_member<std::uint32_t>(json, "connections");
    announcement.cold = json.value("cold", false);
    if (json.contains("in_flight")) {
      announcement.in_flight = support::read_unsigned<std::uint32_t>(json.at("in_flight"));
    }
    if (is_usable(announcement)) {
      return announcement;
    }
  } catch (const nlohmann::json::exception&) {
    // Rejected below, like any other invalid announcement.
  }
  return support::make_error(
      support::result_code::bad_request,
      "invalid announcement: expected service, address as ip:port, and slots");
}

backend_registry::backend_registry(board::call_board& board,
                                   support::milliseconds heartbeat_timeout,
                                   backend_callbacks callbacks)
    : board_(board), heartbeat_timeout_(heartbeat_timeout), callbacks_(std::move(callbacks)) {}

void backend_registry::announce(const backend_announcement& announcement, support::time_point now) {
  last_heard_ = now;
  const auto stable = without_load_report(announcement);
  if (announced_ == stable) {
    return;
  }
  const bool is_new = !announced_ || announced_->address != stable.address ||
                      announced_->instance != stable.instance ||
                      announced_->service != stable.service;
  announced_ = stable;
  publish(
      {true, stable.service, stable.address, stable.instance, stable.slots, stable.connections});
  callbacks_.on_change(announcement, is_new);
}

void backend_registry::leave() {
  if (!announced_) {
    return;
  }
  announced_.reset();
  publish({});
  callbacks_.on_lost();
}

void backend_registry::check_heartbeat(support::time_point now) {
  if (announced_ && now - last_heard_ > heartbeat_timeout_) {
    leave();
  }
}

void backend_registry::publish(const board::backend_target& target) {
  board_.backend.publish(std::make_unique<const board::backend_target>(target));
  publish_admission(board_);
}

} // namespace acaciasill::daemon

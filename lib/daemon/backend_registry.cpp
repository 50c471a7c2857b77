#include "acaciasill/daemon/backend_registry.h"

#include <memory>
#include <utility>

#include <nlohmann/json.hpp>

#include "acaciasill/board/call_board.h"
#include "acaciasill/daemon/publishers.h"
#include "acaciasill/net/peer_settings.h"
#include "acaciasill/support/result_code.h"

namespace acaciasill::daemon {
namespace {

constexpr std::size_t max_name_bytes = 256;
constexpr std::uint32_t max_slots = 1000000;

// The part of an announcement that lasts; the load report changes with each.
backend_announcement without_load(backend_announcement announcement) {
  announcement.in_flight.reset();
  announcement.cold = false;
  return announcement;
}

bool is_usable(const backend_announcement& announcement) {
  return !announcement.service.empty() && announcement.service.size() <= max_name_bytes &&
         announcement.slots <= max_slots && net::parse_peer_address(announcement.address).ok();
}

} // namespace

absl::StatusOr<backend_announcement> parse_announcement(std::string_view body) {
  try {
    const auto json = nlohmann::json::parse(body);
    backend_announcement announcement;
    announcement.service = json.at("service").get<std::string>();
    announcement.address = json.at("address").get<std::string>();
    announcement.slots = json.value("slots", 0U);
    announcement.connections = json.value("connections", 0U);
    announcement.cold = json.value("cold", false);
    if (json.contains("in_flight")) {
      announcement.in_flight = json.at("in_flight").get<std::uint32_t>();
    }
    if (is_usable(announcement)) {
      return announcement;
    }
  } catch (const nlohmann::json::exception&) {
    // Answered below, as any announcement that cannot be used.
  }
  return support::make_error(support::result_code::bad_request,
                             "an announcement needs a service, an address ip:port and its slots");
}

backend_registry::backend_registry(board::call_board& board,
                                   support::milliseconds heartbeat_timeout,
                                   backend_callbacks callbacks)
    : board_(board), heartbeat_timeout_(heartbeat_timeout), callbacks_(std::move(callbacks)) {}

void backend_registry::announce(const backend_announcement& announcement, support::time_point now) {
  last_heard_ = now;
  const auto lasting = without_load(announcement);
  if (present_ == lasting) {
    return;
  }
  const bool is_new = !present_ || present_->address != lasting.address ||
                      present_->instance != lasting.instance ||
                      present_->service != lasting.service;
  present_ = lasting;
  publish({true, lasting.service, lasting.address, lasting.instance, lasting.slots,
           lasting.connections});
  callbacks_.on_change(announcement, is_new);
}

void backend_registry::leave() {
  if (!present_) {
    return;
  }
  present_.reset();
  publish({});
  callbacks_.on_lost();
}

void backend_registry::check_heartbeat(support::time_point now) {
  if (present_ && now - last_heard_ > heartbeat_timeout_) {
    leave();
  }
}

void backend_registry::publish(const board::backend_target& target) {
  board_.backend.publish(std::make_unique<const board::backend_target>(target));
  publish_admission(board_);
}

} // namespace acaciasill::daemon

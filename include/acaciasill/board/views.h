#ifndef ACACIASILL_BOARD_VIEWS_H
#define ACACIASILL_BOARD_VIEWS_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "acaciasill/decide/permits.h"
#include "acaciasill/decide/routing.h"
#include "acaciasill/model/snapshot.h"

// Immutable views that controllers publish and request threads read.
namespace acaciasill::board {

// An organisation with a rate limit.
struct limited_organisation {
  // Slot of its permits.
  std::uint32_t slot = 0;
  // Hash of its name, by which daemons identify it in messages.
  std::uint64_t name_hash = 0;
  decide::organisation_limit limit;

  bool operator==(const limited_organisation&) const = default;
};

// Configuration in force, with the stable slots of its names.
struct configuration_view {
  // False until a first configuration is in force.
  bool ready = false;
  model::snapshot snapshot;
  std::string digest;
  // Slots by the snapshot's index of the organisation or service.
  std::vector<std::uint32_t> organisation_slots;
  std::vector<std::uint32_t> service_slots;
  // Slots by the index of the route in the set.
  std::vector<std::uint32_t> route_slots;
  // Slots by the index of the host route in the set.
  std::vector<std::uint32_t> host_route_slots;
  // Rate limits by the snapshot's index of the organisation; nullopt for those without one.
  std::vector<std::optional<limited_organisation>> limits;
  // Whether the policy for outside callers requires a key.
  bool requires_key = false;
  // Longest timeout of the host routes.
  support::milliseconds longest_timeout{0};
};

// Upstreams of one service to which this daemon sends calls.
struct service_routes {
  decide::route_view route;
  // Address for calls of each upstream of the route, as "ip:port".
  std::vector<std::string> call_addresses;
};

// Upstreams that may be called, by the slot of their service.
struct routing_view {
  // Version of the membership view from which this was built.
  std::uint64_t version = 0;
  std::vector<service_routes> services;
};

// Local backend server as announced by itself.
struct backend_target {
  bool present = false;
  std::string service;
  // Address for requests, as "ip:port".
  std::string address;
  // Identity of the server instance, sent with requests so that the server can check it; empty if
  // none was announced.
  std::string instance;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  // Start of the instance in Unix milliseconds by its own clock; 0 if it is not known.
  std::uint64_t instance_start_ms = 0;

  bool operator==(const backend_target&) const = default;
};

} // namespace acaciasill::board

#endif

#ifndef ACACIASILL_BOARD_VIEWS_H
#define ACACIASILL_BOARD_VIEWS_H

#include <cstdint>
#include <string>
#include <vector>

#include "acaciasill/decide/routing.h"
#include "acaciasill/model/snapshot.h"

// The immutable views that controllers publish and request threads read.
namespace acaciasill::board {

// The configuration in force, with the stable slots of its names.
struct configuration_view {
  // False until a first configuration is in force.
  bool ready = false;
  model::snapshot snapshot;
  std::string digest;
  // By the snapshot's index of organisations and of services.
  std::vector<std::uint32_t> organisation_slots;
  std::vector<std::uint32_t> service_slots;
  // By the index of a route in the set.
  std::vector<std::uint32_t> route_slots;
  // By the index of a host route in the set.
  std::vector<std::uint32_t> host_route_slots;
};

// The upstreams of one service that this daemon sends calls to.
struct service_routes {
  decide::route_view route;
  // Where each upstream of the route takes calls, "ip:port".
  std::vector<std::string> call_addresses;
};

// The members that may be called, by slot of their service.
struct routing_view {
  // The version of the control part's view that this was made from.
  std::uint64_t version = 0;
  std::vector<service_routes> services;
};

// The local backend server as it announced itself.
struct backend_target {
  bool present = false;
  std::string service;
  // Where it takes requests, "ip:port".
  std::string address;
  // Its identity, which the server checks where it is told; empty where it gave none.
  std::string instance;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;

  bool operator==(const backend_target&) const = default;
};

} // namespace acaciasill::board

#endif

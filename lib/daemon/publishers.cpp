#include "acaciasill/daemon/publishers.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "acaciasill/board/call_board.h"
#include "acaciasill/daemon/call_metrics.h"
#include "acaciasill/decide/wait_queue.h"
#include "acaciasill/support/hash.h"

namespace acaciasill::daemon {
namespace {

// Returns the id under which routing identifies an instance.
std::uint64_t instance_id(const control::view_member& member) {
  return support::hash64(member.name + "|" + member.call_address, member.incarnation);
}

std::uint32_t data_centre_number(const std::string& name) {
  return static_cast<std::uint32_t>(support::hash64(name));
}

// Members of one service, in the form that choose_subset takes, with their addresses.
struct service_members {
  std::vector<decide::upstream> upstreams;
  std::vector<std::string> addresses;
};

using members_by_slot = std::map<std::uint32_t, service_members>;

members_by_slot group_members(board::call_board& board, const control::cluster_view& view,
                              routing_publisher& publisher, support::time_point now) {
  members_by_slot groups;
  for (const auto& member : view.members) {
    if (member.service.empty()) {
      continue;
    }
    decide::upstream upstream;
    upstream.id = instance_id(member);
    upstream.data_centre = data_centre_number(member.data_centre);
    upstream.slots = std::max<std::uint32_t>(1, member.slots);
    upstream.draining = member.draining;
    auto& known = publisher.loads[upstream.id];
    if (!known.load) {
      known.load = std::make_shared<decide::upstream_load>();
    }
    known.listed = now;
    upstream.load = known.load;
    auto& group = groups[board.services.slot_of(member.service)];
    group.upstreams.push_back(std::move(upstream));
    group.addresses.push_back(member.call_address);
  }
  return groups;
}

board::service_routes make_routes(const service_members& members, std::uint64_t self,
                                  std::uint32_t own_data_centre, const model::limits& limits) {
  board::service_routes routes;
  routes.route.ejection_cap = limits.ejection_cap;
  routes.route.spill_cap = limits.spill_cap;
  const auto subset =
      decide::choose_subset(members.upstreams, self, own_data_centre, limits.subset_size);
  for (const auto index : subset) {
    routes.route.upstreams.push_back(members.upstreams[index]);
    routes.call_addresses.push_back(members.addresses[index]);
    if (members.upstreams[index].data_centre == own_data_centre) {
      ++routes.route.local_count;
    }
  }
  return routes;
}

std::optional<board::limited_organisation>
make_limit(board::call_board& board, const model::compiled_organisation& organisation) {
  if (organisation.rate_limit <= 0.0) {
    return std::nullopt;
  }
  return board::limited_organisation{board.limited_organisations.slot_of(organisation.name),
                                     model::hash_organisation(organisation.name),
                                     {organisation.rate_limit, organisation.burst}};
}

std::map<std::uint32_t, model::limits> limits_by_slot(const board::configuration_view& view) {
  std::map<std::uint32_t, model::limits> limits;
  for (std::uint32_t index = 0; index < view.service_slots.size(); ++index) {
    limits[view.service_slots[index]] = view.snapshot.service(index).limits;
  }
  return limits;
}

} // namespace

absl::Status publish_configuration(board::call_board& board, call_metrics& metrics,
                                   model::configuration set, const std::string& digest) {
  auto compiled = model::compile_snapshot(std::move(set));
  if (!compiled.ok()) {
    return compiled.status();
  }
  auto view = std::make_unique<board::configuration_view>();
  view->ready = true;
  view->digest = digest;
  view->snapshot = *std::move(compiled);
  for (const auto& organisation : view->snapshot.organisations()) {
    view->organisation_slots.push_back(board.organisations.slot_of(organisation.name));
    metrics.set_label(view->organisation_slots.back(), organisation.name);
    view->limits.push_back(make_limit(board, organisation));
  }
  for (const auto& service : view->snapshot.services()) {
    view->service_slots.push_back(board.services.slot_of(service.name));
  }
  for (const auto& route : view->snapshot.set().routes) {
    view->route_slots.push_back(board.routes.slot_of(route.name));
  }
  for (const auto& route : view->snapshot.set().host_routes) {
    view->host_route_slots.push_back(board.routes.slot_of(route.name));
    view->longest_timeout = std::max(view->longest_timeout, route.timeout);
  }
  const auto* policy = view->snapshot.find_caller_policy(model::outside_policy_name);
  view->requires_key = policy != nullptr && policy->policy.requires_key;
  const auto generation = view->snapshot.generation();
  board.configuration.publish(std::move(view));
  board.generations.in_force.store(generation, std::memory_order_relaxed);
  publish_admission(board);
  return absl::OkStatus();
}

void publish_admission(board::call_board& board) {
  auto admission = std::make_unique<decide::gate_view>();
  {
    const board::rcu_read_guard guard;
    const auto& view = board.configuration.read(guard);
    const auto& target = board.backend.read(guard);
    admission->organisations.resize(board::organisation_capacity);
    for (std::uint32_t index = 0; index < view.organisation_slots.size(); ++index) {
      const auto& organisation = view.snapshot.organisation(index);
      admission->organisations[view.organisation_slots[index]] = {organisation.guaranteed_share,
                                                                  organisation.weight};
    }
    if (const auto service = view.snapshot.find_service(target.service)) {
      const auto& compiled = view.snapshot.service(*service);
      admission->queue_bound = compiled.limits.queue_bound;
      admission->queue_target = compiled.limits.queue_target;
      admission->threshold_step = compiled.limits.threshold_step;
      admission->adjusts_thresholds = compiled.limits.ids_travel;
      const auto slots = target.slots != 0 ? target.slots : compiled.slots;
      admission->queue_capacity = decide::queue_capacity_for(slots);
    }
  }
  board.admission.publish(std::move(admission));
}

void publish_coordinators(board::call_board& board, const std::string& own_data_centre,
                          const control::cluster_view& view) {
  std::map<std::string, std::vector<std::string>> addresses;
  for (const auto& member : view.members) {
    addresses[member.data_centre].push_back(member.call_address);
  }
  auto coordinators = std::make_unique<decide::coordinator_view>();
  // The own data centre comes first even if none of its daemons serves.
  coordinators->groups.push_back(
      decide::make_group(own_data_centre, std::move(addresses[own_data_centre])));
  addresses.erase(own_data_centre);
  for (auto& [data_centre, list] : addresses) {
    coordinators->groups.push_back(decide::make_group(data_centre, std::move(list)));
  }
  for (const auto& group : coordinators->groups) {
    coordinators->daemons += group.daemons;
  }
  coordinators->known_daemons = std::max(coordinators->daemons, view.known_daemons);
  {
    const board::rcu_read_guard guard;
    const auto& present = board.coordinators.read(guard);
    coordinators->version = present.version;
    if (*coordinators == present) {
      return;
    }
  }
  // The version of the members does not change with the own entry, so it does not identify a view.
  ++coordinators->version;
  board.coordinators.publish(std::move(coordinators));
}

void publish_routing(board::call_board& board, routing_publisher& publisher,
                     const control::cluster_view& view, support::time_point now) {
  publish_coordinators(board, publisher.own_data_centre, view);
  const auto groups = group_members(board, view, publisher, now);
  std::erase_if(publisher.loads, [now](const auto& known) {
    return now - known.second.listed >= unlisted_load_lifetime;
  });
  std::map<std::uint32_t, model::limits> limits;
  {
    const board::rcu_read_guard guard;
    limits = limits_by_slot(board.configuration.read(guard));
  }
  const auto self = support::hash64(publisher.own_name);
  const auto own_data_centre = data_centre_number(publisher.own_data_centre);
  auto routing = std::make_unique<board::routing_view>();
  routing->version = view.version;
  for (const auto& [slot, members] : groups) {
    if (routing->services.size() <= slot) {
      routing->services.resize(slot + 1);
    }
    routing->services[slot] = make_routes(members, self, own_data_centre, limits[slot]);
  }
  board.routing.publish(std::move(routing));
}

} // namespace acaciasill::daemon

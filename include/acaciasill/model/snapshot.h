#ifndef ACACIASILL_MODEL_SNAPSHOT_H
#define ACACIASILL_MODEL_SNAPSHOT_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "acaciasill/model/configuration.h"
#include "acaciasill/model/name_index.h"

// A configuration set compiled for the path of a request.
namespace acaciasill::model {

// Dense indexes: services, organisations and data centres count from 0 in the order of their names.
// They hold within one snapshot only; another generation may number the same names differently.
using service_index = std::uint32_t;
using organisation_index = std::uint32_t;

// How a call is classified.
struct route_facts {
  // The index of the route in the set's list of routes; nothing where none fits.
  std::optional<std::uint32_t> route;
  // The rank of the priority class, 0 the most important.
  std::uint8_t rank = 0;
  bool idempotent = false;
  // Whether the call must bring an idempotency key.
  bool claim_key = false;

  bool operator==(const route_facts&) const = default;
};

// A route with its names resolved.
struct compiled_route {
  std::string path_prefix;
  // One bit for each of the set's methods that it names; 0 stands for every method.
  std::uint32_t method_mask = 0;
  route_facts facts;

  bool operator==(const compiled_route&) const = default;
};

// A part of the requests of a host route, and the service that takes it.
struct route_target {
  std::string service;
  // The part among the weights of all targets; 0 for none.
  std::uint32_t weight = 1;

  bool operator==(const route_target&) const = default;
};

// The largest weight of a target.
inline constexpr std::uint32_t max_target_weight = 1000000;

// Reads "service=weight" or "service"; nothing where it is neither.
std::optional<route_target> parse_target(std::string_view text);

// A service that takes a part of a host route's requests.
struct compiled_target {
  service_index service = 0;
  std::uint32_t weight = 1;

  bool operator==(const compiled_target&) const = default;
};

// A host route with its names resolved.
struct compiled_host_route {
  // The index of the route in the set's list of host routes.
  std::uint32_t index = 0;
  std::string host;
  std::string path_prefix;
  // Those with a weight above 0.
  std::vector<compiled_target> targets;
  std::uint8_t rank = 0;
  // The rank of requests that were refused and come back.
  std::uint8_t returning_rank = 0;
  bool idempotent = false;
  support::milliseconds timeout{0};
  support::milliseconds target_latency{0};
  std::uint32_t attempts = 1;

  bool operator==(const compiled_host_route&) const = default;
};

// A service with its names resolved.
struct compiled_service {
  std::string name;
  model::limits limits;
  // The rank of calls that no route names.
  std::uint8_t default_rank = 0;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  std::uint32_t expected_upstreams = 0;
  // The services that this one calls.
  std::vector<service_index> calls;
  // All services that a call to this one may reach, itself included, in rising order.
  std::vector<service_index> reachable;
  // The most specific route first.
  std::vector<compiled_route> routes;

  bool operator==(const compiled_service&) const = default;
};

// An organisation as the request path needs it.
struct compiled_organisation {
  std::string name;
  double guaranteed_share = 0.0;
  double weight = 1.0;

  bool operator==(const compiled_organisation&) const = default;
};

// The policy for callers outside the mesh, with its default organisation resolved.
struct compiled_caller_policy {
  caller_policy policy;
  // Nothing where a call without an organisation is refused.
  std::optional<organisation_index> default_organisation;

  bool operator==(const compiled_caller_policy&) const = default;
};

// The name of the caller policy for all outside callers of a daemon whose settings name none.
inline constexpr std::string_view outside_policy_name = "outside";

// The compiled set. Immutable after compile_snapshot; lookups allocate nothing and may come from
// any thread.
class snapshot {
public:
  snapshot() = default;

  std::uint64_t generation() const { return set_.generation; }

  // The whole set that was compiled.
  const configuration& set() const { return set_; }

  std::optional<service_index> find_service(std::string_view name) const;
  std::optional<organisation_index> find_organisation(std::string_view name) const;

  // The rank of the priority class with this name, or nothing.
  std::optional<std::uint8_t> find_rank(std::string_view priority) const;

  // The caller policy with this name, or nothing.
  const compiled_caller_policy* find_caller_policy(std::string_view name) const;

  // The index is below the number of services or organisations.
  const compiled_service& service(service_index index) const { return services_[index]; }
  const compiled_organisation& organisation(organisation_index index) const {
    return organisations_[index];
  }

  // The route of the host whose prefix is the longest that begins the path; a query is left aside.
  // Nothing where none fits.
  const compiled_host_route* find_host_route(std::string_view host, std::string_view path) const;

  const std::vector<compiled_service>& services() const { return services_; }
  const std::vector<compiled_organisation>& organisations() const { return organisations_; }

  // Classifies a call by its method and its path below /svc/<service>; a query is left aside. The
  // longest prefix wins, then the route that names the method. Prefixes end at a segment: "/bikes"
  // takes "/bikes" and "/bikes/7" and not "/bikestore". Where no route fits, the rank is the
  // service's default, and only methods that HTTP defines as idempotent count as such.
  route_facts classify(service_index service, std::string_view method, std::string_view path) const;

private:
  friend absl::StatusOr<snapshot> compile_snapshot(configuration set);

  configuration set_;
  std::vector<compiled_service> services_;
  std::vector<compiled_organisation> organisations_;
  std::vector<compiled_caller_policy> caller_policies_;
  // In the order of hosts; the routes of one host by rising prefix.
  std::vector<compiled_host_route> host_routes_;
  name_index service_names_;
  name_index organisation_names_;
  name_index priority_names_;
  name_index caller_policy_names_;
};

// Checks a set and compiles it. Errors: the code of the first finding, with its line as the detail.
absl::StatusOr<snapshot> compile_snapshot(configuration set);

} // namespace acaciasill::model

#endif

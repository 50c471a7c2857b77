#ifndef ACACIASILL_MODEL_SNAPSHOT_H
#define ACACIASILL_MODEL_SNAPSHOT_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "absl/status/statusor.h"
#include "acaciasill/model/configuration.h"
#include "acaciasill/model/key_index.h"
#include "acaciasill/model/name_index.h"

// A configuration set compiled for lookups on the request path.
namespace acaciasill::model {

// Dense indexes from 0 in name order. They are valid within one snapshot only, since another
// generation may assign other indexes to the same names.
using service_index = std::uint32_t;
using organisation_index = std::uint32_t;

// Classification of a call.
struct call_classification {
  // Index of the matching route in the set's list of routes; std::nullopt if no route matches.
  std::optional<std::uint32_t> route;
  // Rank of the priority class; 0 is the most important.
  std::uint8_t rank = 0;
  bool idempotent = false;
  // True if the call must carry an idempotency key.
  bool claim_key = false;

  bool operator==(const call_classification&) const = default;
};

// A route with its references resolved.
struct compiled_route {
  std::string path_prefix;
  // One bit for each method that the route lists, in the order of route_methods; 0 matches every
  // method.
  std::uint32_t method_mask = 0;
  call_classification classification;

  bool operator==(const compiled_route&) const = default;
};

// Returns a hash of an organisation's name, the same in every process.
std::uint64_t hash_organisation(std::string_view name);

// A service that receives part of a host route's requests.
struct route_target {
  std::string service;
  // Share of the requests relative to the weights of all targets; 0 receives none.
  std::uint32_t weight = 1;

  bool operator==(const route_target&) const = default;
};

// Largest weight of a target.
inline constexpr std::uint32_t max_target_weight = 1000000;

// Parses "service=weight" or "service"; std::nullopt if the text is neither.
std::optional<route_target> parse_target(std::string_view text);

// A target of a host route with its service resolved.
struct compiled_target {
  service_index service = 0;
  std::uint32_t weight = 1;

  bool operator==(const compiled_target&) const = default;
};

// A host route with its references resolved.
struct compiled_host_route {
  // Index of the route in the set's list of host routes.
  std::uint32_t index = 0;
  std::string host;
  std::string path_prefix;
  // Targets with a weight above 0; none if the route is unusable.
  std::vector<compiled_target> targets;
  std::uint8_t rank = 0;
  // Rank of requests that callers send again after a refusal.
  std::uint8_t returning_rank = 0;
  bool idempotent = false;
  support::milliseconds timeout{0};
  support::milliseconds target_latency{0};
  std::uint32_t attempts = 1;
  // Whether callers need no key.
  bool is_public = false;

  bool operator==(const compiled_host_route&) const = default;
};

// A service with its references resolved.
struct compiled_service {
  std::string name;
  model::limits limits;
  // Rank of calls that match no route.
  std::uint8_t default_rank = 0;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  std::uint32_t expected_upstreams = 0;
  // Services that this one calls directly.
  std::vector<service_index> calls;
  // All services that a call to this one may reach, including itself, in ascending order.
  std::vector<service_index> reachable;
  // Routes in matching order, most specific first.
  std::vector<compiled_route> routes;

  bool operator==(const compiled_service&) const = default;
};

// The fields of an organisation that the request path uses.
struct compiled_organisation {
  std::string name;
  double guaranteed_share = 0.0;
  double weight = 1.0;
  // Added to the ranks of the organisation's requests.
  std::uint8_t rank_offset = 0;
  // Requests per second over all instances together; 0 for no limit.
  double rate_limit = 0.0;
  // Requests admitted at once beyond the rate.
  double burst = 0.0;

  bool operator==(const compiled_organisation&) const = default;
};

// A policy for callers outside the mesh, with its default organisation resolved.
struct compiled_caller_policy {
  caller_policy policy;
  // If std::nullopt, calls without an organisation are refused.
  std::optional<organisation_index> default_organisation;

  bool operator==(const compiled_caller_policy&) const = default;
};

// Name of the caller policy that a daemon uses for outside callers if its settings name none.
inline constexpr std::string_view outside_policy_name = "outside";

// A compiled set, created by compile_snapshot and immutable. Lookups do not allocate and are
// thread-safe.
class snapshot {
public:
  snapshot() = default;

  std::uint64_t generation() const { return set_.generation; }

  // Returns the normalised set from which the snapshot was compiled.
  const configuration& set() const { return set_; }

  std::optional<service_index> find_service(std::string_view name) const;
  std::optional<organisation_index> find_organisation(std::string_view name) const;

  // Returns the organisation whose name has the hash, as computed by hash_organisation.
  std::optional<organisation_index> find_organisation_by_hash(std::uint64_t hash) const;

  // Returns the organisation that has the key.
  std::optional<organisation_index> find_key_owner(std::string_view key) const {
    return keys_.find(key);
  }

  // Returns the rank of the named priority class, or std::nullopt if there is none.
  std::optional<std::uint8_t> find_rank(std::string_view priority) const;

  // Returns the named caller policy, or nullptr if there is none.
  const compiled_caller_policy* find_caller_policy(std::string_view name) const;

  // The index must be valid in this snapshot.
  const compiled_service& service(service_index index) const { return services_[index]; }
  const compiled_organisation& organisation(organisation_index index) const {
    return organisations_[index];
  }

  // Returns the host's route with the longest prefix of the path, or nullptr if none matches. The
  // query string is ignored.
  const compiled_host_route* find_host_route(std::string_view host, std::string_view path) const;

  const std::vector<compiled_service>& services() const { return services_; }
  const std::vector<compiled_organisation>& organisations() const { return organisations_; }

  // Classifies a call by its method and its path below /svc/<service>, ignoring the query string.
  // The longest matching prefix wins, then a route that lists the method. Prefixes match whole path
  // segments: "/bikes" matches "/bikes" and "/bikes/7", but not "/bikestore". If no route matches,
  // the service's default rank applies and the call is idempotent only if HTTP defines its method
  // as idempotent.
  call_classification classify(service_index service, std::string_view method,
                               std::string_view path) const;

private:
  friend absl::StatusOr<snapshot> compile_snapshot(configuration set);

  configuration set_;
  std::vector<compiled_service> services_;
  std::vector<compiled_organisation> organisations_;
  std::vector<compiled_caller_policy> caller_policies_;
  // Sorted by host, then by path prefix.
  std::vector<compiled_host_route> host_routes_;
  key_index keys_;
  std::unordered_map<std::uint64_t, organisation_index> organisation_hashes_;
  name_index service_names_;
  name_index organisation_names_;
  name_index priority_names_;
  name_index caller_policy_names_;
};

// Normalises, validates and compiles a set. Errors: the code of the first finding, with the
// formatted finding as the detail.
absl::StatusOr<snapshot> compile_snapshot(configuration set);

} // namespace acaciasill::model

#endif

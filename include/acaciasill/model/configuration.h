#ifndef ACACIASILL_MODEL_CONFIGURATION_H
#define ACACIASILL_MODEL_CONFIGURATION_H

#include <cstdint>
#include <string>
#include <vector>

#include "acaciasill/support/time.h"

// The configuration objects that operators publish. Objects are immutable values that refer to one
// another by name; all references are validated before a set is published.
namespace acaciasill::model {

// A site with backend servers. Data centres of the same region have low latency between them.
struct data_centre {
  std::string name;
  std::string region;

  bool operator==(const data_centre&) const = default;
};

// Largest rank of a priority class.
inline constexpr std::uint8_t max_priority_rank = 7;

// A party whose calls are served.
struct organisation {
  std::string name;
  // Fraction of every upstream's slots, from 0 to 1, that is reserved for this organisation
  // regardless of the load from others.
  double guaranteed_share = 0.0;
  // Weight by which this organisation receives unused capacity of others.
  double weight = 1.0;
  // Keys by which callers identify themselves as belonging to the organisation.
  std::vector<std::string> keys;
  // Added to the ranks of the organisation's requests, up to max_priority_rank.
  std::uint8_t rank_offset = 0;
  // Requests per second that are admitted over all instances together; 0 for no limit.
  double rate_limit = 0.0;
  // Requests that are admitted at once beyond the rate.
  double burst = 0.0;

  bool operator==(const organisation&) const = default;
};

// A priority class for load shedding. Rank 0 is shed last; the largest rank is shed first.
struct priority_class {
  std::string name;
  std::uint8_t rank = 0;

  bool operator==(const priority_class&) const = default;
};

// Overload and routing parameters that one or more services use.
struct limits {
  std::string name;
  // Longest time a call may wait for a slot.
  support::milliseconds queue_bound{50};
  // Queueing delay above which an upstream counts as overloaded.
  support::milliseconds queue_target{5};
  // Deadline of a request that states none.
  support::milliseconds default_deadline{2000};
  // Retry budget that the entry daemon assigns to a request: attempts beyond the first, over all
  // calls made for that request.
  std::uint32_t spare_attempts = 3;
  // Retries one daemon may send to one service, as a fraction of its first attempts.
  double retry_ratio = 0.1;
  // Largest number of local upstreams of one service, and as many remote ones, to which one daemon
  // sends calls.
  std::uint32_t subset_size = 8;
  // Largest fraction of a subset that may be ejected as outliers.
  double ejection_cap = 0.34;
  // Time over which a cold upstream is raised to its full limit.
  support::milliseconds slow_start{2000};
  // Fraction of an admission threshold that one recovery step restores.
  double threshold_step = 0.1;
  // Largest fraction of a service's calls that may leave the local data centre.
  double spill_cap = 0.5;
  // Fraction of an upstream's slots that is used. Some servers slow down when all are in use.
  double slot_use = 1.0;
  // True if an upstream's concurrency limit adapts to its measured calls; false if it follows from
  // the reported number of slots.
  bool learns_limit = true;
  // True if the request id is propagated to the calls made for that request, so that every hop can
  // shed the same requests. If false, the entry daemon sheds by the load that downstream calls
  // report.
  bool ids_travel = true;

  bool operator==(const limits&) const = default;
};

// A service that backend servers run.
struct service {
  std::string name;
  // Name of a limits object.
  std::string limits;
  // Name of the priority class of calls that match no route.
  std::string default_priority;
  // Calls that one upstream runs concurrently, unless it reports another number.
  std::uint32_t slots = 100;
  // Connections that one upstream accepts.
  std::uint32_t connections = 750;
  // Upstreams expected in each data centre. Used to validate guaranteed shares against slots.
  std::uint32_t expected_upstreams = 1;
  // Names of the services that this one calls.
  std::vector<std::string> calls;

  bool operator==(const service&) const = default;
};

// Classifies calls to one service by method and path. The most specific route matches: the longest
// path prefix first, then a route that lists the method.
struct route {
  std::string name;
  std::string service;
  // HTTP methods that the route matches; empty for all methods.
  std::vector<std::string> methods;
  std::string path_prefix = "/";
  std::string priority;
  // True if the call may safely run twice.
  bool idempotent = true;
  // True if a non-idempotent call must carry an idempotency key, which is claimed before it runs.
  bool claim_key = false;

  bool operator==(const route&) const = default;
};

// Maps requests that name a host and a path instead of a service to a service. Among the routes of
// a host, the one with the longest matching path prefix is used.
struct host_route {
  std::string name;
  std::string host;
  // Path prefix that starts and ends with a slash.
  std::string path_prefix = "/";
  // Services among which requests are split, each as "service=weight", or "service" for a weight
  // of 1.
  std::vector<std::string> targets;
  std::string priority;
  // Priority class of requests that callers send again after a refusal; empty to keep the class.
  std::string returning_priority;
  // True if the request may safely run twice.
  bool idempotent = false;
  // Longest time a request may wait for its answer.
  support::milliseconds timeout{30000};
  // Latency within which an answer is most useful to the caller.
  support::milliseconds target_latency{1000};
  // Largest number of upstreams to which one request may be sent.
  std::uint32_t attempts = 2;
  // True if callers need no key even where the caller policy requires one.
  bool is_public = false;
  // True if matching requests are refused, because the rest of the route is invalid. Not a field of
  // the published object.
  bool is_unusable = false;

  bool operator==(const host_route&) const = default;
};

// Request attributes that callers outside the mesh may set.
struct caller_policy {
  std::string name;
  bool may_set_organisation = true;
  bool may_set_priority = false;
  bool may_set_retry_budget = false;
  // True if host routes that are not public serve only callers with the key of an organisation, and
  // calls of backend servers.
  bool requires_key = false;
  // Organisation of callers that name none; if empty, such calls are refused.
  std::string default_organisation;

  bool operator==(const caller_policy&) const = default;
};

// A complete published set of objects. Generations only increase; 0 means none.
struct configuration {
  std::uint64_t generation = 0;
  // Version control revision from which the set was published.
  std::string source_revision;
  std::vector<data_centre> data_centres;
  std::vector<organisation> organisations;
  std::vector<priority_class> priorities;
  std::vector<limits> limit_sets;
  std::vector<service> services;
  std::vector<route> routes;
  std::vector<host_route> host_routes;
  std::vector<caller_policy> caller_policies;

  bool operator==(const configuration&) const = default;
};

} // namespace acaciasill::model

#endif

#ifndef ACACIASILL_MODEL_CONFIGURATION_H
#define ACACIASILL_MODEL_CONFIGURATION_H

#include <cstdint>
#include <string>
#include <vector>

#include "acaciasill/support/time.h"

// The named objects that operators publish. Each is an immutable value; names refer to one another
// and are checked as a whole before a set is published.
namespace acaciasill::model {

// A site that holds backend servers; data centres of one region are near each other.
struct data_centre {
  std::string name;
  std::string region;

  bool operator==(const data_centre&) const = default;
};

// Somebody whose calls are served. The guaranteed share is the part of every upstream's slots,
// from 0 to 1, that the organisation has whatever the others send.
struct organisation {
  std::string name;
  double guaranteed_share = 0.0;
  // The weight with which capacity that nobody else uses is lent.
  double weight = 1.0;

  bool operator==(const organisation&) const = default;
};

// A class of importance. Rank 0 is shed last; the largest rank is shed first.
struct priority_class {
  std::string name;
  std::uint8_t rank = 0;

  bool operator==(const priority_class&) const = default;
};

// The largest rank that a priority class may have.
inline constexpr std::uint8_t max_priority_rank = 7;

// Tuning that one or more services share.
struct limits {
  std::string name;
  // The longest time that a call may wait for a slot.
  support::milliseconds queue_bound{50};
  // The queueing delay above which an upstream counts as overloaded.
  support::milliseconds queue_target{5};
  // The deadline of a request that brings none.
  support::milliseconds default_deadline{2000};
  // Attempts beyond the first that the entry mints for a whole request.
  std::uint32_t spare_attempts = 3;
  // Retries that one daemon may send to one service, as a part of its first attempts.
  double retry_ratio = 0.1;
  // Upstreams of one service that one daemon talks to.
  std::uint32_t subset_size = 8;
  // The largest part of a subset that may be ejected as outliers.
  double ejection_cap = 0.34;
  // The time over which a cold upstream is brought to its full limit.
  support::milliseconds slow_start{2000};
  // The part of an admission threshold that is given back in one step of recovery.
  double threshold_step = 0.1;
  // The largest part of a service's calls that may leave the local data centre.
  double spill_cap = 0.5;
  // The part of an upstream's slots that is used; some servers slow down when all are.
  double slot_use = 1.0;
  // Whether an upstream's limit is learned from what its calls show, or taken as it is reported.
  bool learns_limit = true;
  // Whether a request's id travels with the calls that are made for it, so that every hop can shed
  // the same requests. Where it does not, the entry sheds by what the calls below report.
  bool ids_travel = true;

  bool operator==(const limits&) const = default;
};

// A kind of backend server.
struct service {
  std::string name;
  // The name of a limits object.
  std::string limits;
  // The name of the priority class of calls that no route names.
  std::string default_priority;
  // Calls that one upstream runs at once, where it does not report another number.
  std::uint32_t slots = 100;
  // Connections that one upstream accepts.
  std::uint32_t connections = 750;
  // Upstreams that operators expect in each data centre; for the check of shares against slots.
  std::uint32_t expected_upstreams = 1;
  // The names of services that this one calls.
  std::vector<std::string> calls;

  bool operator==(const service&) const = default;
};

// How calls of one service are classified. The most specific route wins: the longest path prefix,
// then one that names the method.
struct route {
  std::string name;
  std::string service;
  // Empty stands for every method.
  std::vector<std::string> methods;
  std::string path_prefix = "/";
  std::string priority;
  // Whether running the call twice does no harm.
  bool idempotent = true;
  // Whether a non-idempotent call must bring an idempotency key, which is claimed before it runs.
  bool claim_key = false;

  bool operator==(const route&) const = default;
};

// How requests that name a host and a path, and no service, find their service. Among the routes of
// a host the longest prefix that begins the path wins.
struct host_route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix = "/";
  // The services that share the requests, each as "service=weight", or "service" for a weight of 1.
  std::vector<std::string> targets;
  std::string priority;
  // The class of requests that were refused and come back; empty for the same class.
  std::string returning_priority;
  // Whether running a request twice does no harm.
  bool idempotent = false;
  // The longest time that a request may be kept waiting.
  support::milliseconds timeout{30000};
  // The time within which an answer is worth most to the caller.
  support::milliseconds target_latency{1000};
  // Upstreams to which one request may be sent.
  std::uint32_t attempts = 2;

  bool operator==(const host_route&) const = default;
};

// What callers outside the mesh may set for themselves.
struct caller_policy {
  std::string name;
  bool may_set_organisation = true;
  bool may_set_priority = false;
  bool may_set_retry_budget = false;
  // The organisation of callers that name none; empty means that such a call is refused.
  std::string default_organisation;

  bool operator==(const caller_policy&) const = default;
};

// One published set, checked as a whole. Generations only ever rise; 0 means none.
struct configuration {
  std::uint64_t generation = 0;
  // The revision of the operators' version control that the set was published from.
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

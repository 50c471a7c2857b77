#include "acaciasill/model/validation.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"
#include "acaciasill/model/snapshot.h"
#include "call_graph.h"
#include "finding_log.h"
#include "host_route_check.h"
#include "route_check.h"

namespace acaciasill::model {
namespace {

using support::result_code;

// Shares are sums of decimal fractions, which binary numbers only come near.
constexpr double share_tolerance = 1e-9;

bool is_valid_name(std::string_view name) {
  const auto allowed = [](char letter) {
    return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9') || letter == '-';
  };
  return !name.empty() && name.size() <= max_name_size && name.front() != '-' &&
         std::all_of(name.begin(), name.end(), allowed);
}

void check_names(const configuration& set, finding_log& log) {
  for_each_kind(set, [&](object_kind kind, const auto& objects) {
    const std::string* previous = nullptr;
    for (const auto& object : objects) {
      if (!is_valid_name(object.name)) {
        log.add(kind, object.name, "name", result_code::out_of_range,
                absl::StrCat("up to ", max_name_size, " of a-z, 0-9 and -, not first -"));
      }
      if (previous != nullptr && *previous == object.name) {
        log.add(kind, object.name, "name", result_code::duplicate_object, object.name);
      }
      previous = &object.name;
    }
  });
}

void check_needed_objects(const configuration& set, finding_log& log) {
  for_each_kind(set, [&](object_kind kind, const auto& objects) {
    const bool needed = kind != object_kind::route && kind != object_kind::host_route &&
                        kind != object_kind::caller_policy;
    if (needed && objects.empty()) {
      log.add_to_set(result_code::object_missing, kind_name(kind));
    }
  });
}

template <typename Object>
std::set<std::string_view> names_of(const std::vector<Object>& objects) {
  std::set<std::string_view> names;
  for (const auto& object : objects) {
    names.insert(object.name);
  }
  return names;
}

// Checks that the names that objects refer to exist.
void check_references(const configuration& set, finding_log& log) {
  const auto services = names_of(set.services);
  const auto priorities = names_of(set.priorities);
  const auto limit_sets = names_of(set.limit_sets);
  const auto organisations = names_of(set.organisations);
  const auto expect = [&log](const auto& names, object_kind kind, const std::string& name,
                             std::string_view key, const std::string& target) {
    if (!names.contains(target)) {
      log.add(kind, name, key, result_code::unknown_reference, target);
    }
  };
  for (const auto& each : set.services) {
    expect(limit_sets, object_kind::service, each.name, "limits", each.limits);
    expect(priorities, object_kind::service, each.name, "default_priority", each.default_priority);
    for (const auto& callee : each.calls) {
      expect(services, object_kind::service, each.name, "calls", callee);
    }
  }
  for (const auto& each : set.routes) {
    expect(services, object_kind::route, each.name, "service", each.service);
    expect(priorities, object_kind::route, each.name, "priority", each.priority);
  }
  for (const auto& each : set.host_routes) {
    for (const auto& target : each.targets) {
      if (const auto parsed = parse_target(target)) {
        expect(services, object_kind::host_route, each.name, "targets", parsed->service);
      }
    }
    expect(priorities, object_kind::host_route, each.name, "priority", each.priority);
    if (!each.returning_priority.empty()) {
      expect(priorities, object_kind::host_route, each.name, "returning_priority",
             each.returning_priority);
    }
  }
  for (const auto& each : set.caller_policies) {
    if (!each.default_organisation.empty()) {
      expect(organisations, object_kind::caller_policy, each.name, "default_organisation",
             each.default_organisation);
    }
  }
}

void check_ranks(const configuration& set, finding_log& log) {
  std::map<std::uint8_t, std::string_view> owners;
  for (const auto& each : set.priorities) {
    if (const auto [owner, is_new] = owners.emplace(each.rank, each.name); !is_new) {
      log.add(object_kind::priority, each.name, "rank", result_code::duplicate_rank,
              absl::StrCat("rank ", static_cast<int>(each.rank), " is that of ",
                           std::string(owner->second)));
    }
  }
}

void check_shares(const configuration& set, finding_log& log) {
  double sum = 0.0;
  for (const auto& each : set.organisations) {
    const double before = sum;
    sum += each.guaranteed_share;
    // Only the organisation that goes over is named; those after it would repeat it.
    if (before <= 1.0 + share_tolerance && sum > 1.0 + share_tolerance) {
      log.add(object_kind::organisation, each.name, "guaranteed_share",
              result_code::shares_exceeded, absl::StrCat("the sum is ", sum, " with this one"));
    }
  }
}

// Checks that each guaranteed share is at least one slot of the service in a data centre.
void check_slots(const configuration& set, finding_log& log) {
  for (const auto& each : set.services) {
    if (each.connections < each.slots) {
      log.add(object_kind::service, each.name, "connections", result_code::slots_exceeded,
              absl::StrCat(each.slots, " slots need as many connections"));
    }
    const double slots = static_cast<double>(each.slots) * each.expected_upstreams;
    for (const auto& owner : set.organisations) {
      const double held = owner.guaranteed_share * slots;
      if (owner.guaranteed_share > 0.0 && held < 1.0 - share_tolerance) {
        log.add(object_kind::service, each.name, "slots", result_code::slots_exceeded,
                absl::StrCat("the share of ", owner.name, " is ", held,
                             " slots in a data centre, under one"));
      }
    }
  }
}

void check_limits(const configuration& set, finding_log& log) {
  for (const auto& each : set.limit_sets) {
    if (each.queue_target > each.queue_bound) {
      log.add(object_kind::limits, each.name, "queue_target_ms", result_code::out_of_range,
              "at most queue_bound_ms");
    }
    if (each.queue_bound >= each.default_deadline) {
      log.add(object_kind::limits, each.name, "queue_bound_ms", result_code::out_of_range,
              "below default_deadline_ms");
    }
  }
}

} // namespace

std::vector<finding> validate(const configuration& set, const std::vector<object_source>& sources,
                              const std::string& set_name) {
  finding_log log(sources, set_name);
  check_needed_objects(set, log);
  check_names(set, log);
  check_references(set, log);
  check_ranks(set, log);
  check_shares(set, log);
  check_slots(set, log);
  check_limits(set, log);
  check_call_graph(set, log);
  check_routes(set, log);
  check_host_routes(set, log);
  return log.take();
}

} // namespace acaciasill::model

#include "acaciasill/model/validation.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"
#include "acaciasill/model/key_index.h"
#include "acaciasill/model/snapshot.h"
#include "call_graph.h"
#include "finding_collector.h"
#include "host_route_check.h"
#include "route_check.h"

namespace acaciasill::model {
namespace {

using support::result_code;

// Tolerance for rounding errors, since decimal fractions are not exact in binary floating point.
constexpr double share_tolerance = 1e-9;

std::size_t max_size_of_name(object_kind kind) {
  return kind == object_kind::organisation ? max_organisation_name_size : max_name_size;
}

bool is_valid_name(std::string_view name, std::size_t max_size) {
  const auto allowed = [](char letter) {
    return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9') || letter == '-';
  };
  return !name.empty() && name.size() <= max_size && name.front() != '-' &&
         std::all_of(name.begin(), name.end(), allowed);
}

void check_names(const configuration& set, finding_collector& collector) {
  for_each_kind(set, [&](object_kind kind, const auto& objects) {
    const std::string* previous = nullptr;
    for (const auto& object : objects) {
      if (const auto max_size = max_size_of_name(kind); !is_valid_name(object.name, max_size)) {
        collector.add(
            kind, object.name, "name", result_code::out_of_range,
            absl::StrCat("up to ", max_size, " characters of a-z, 0-9 and -, not starting with -"));
      }
      if (previous != nullptr && *previous == object.name) {
        collector.add(kind, object.name, "name", result_code::duplicate_object, object.name);
      }
      previous = &object.name;
    }
  });
}

void check_required_objects(const configuration& set, finding_collector& collector) {
  for_each_kind(set, [&](object_kind kind, const auto& objects) {
    const bool required = kind != object_kind::route && kind != object_kind::host_route &&
                          kind != object_kind::caller_policy;
    if (required && objects.empty()) {
      collector.add_to_set(result_code::object_missing, kind_name(kind));
    }
  });
}

template <typename Object>
std::set<std::string_view> collect_names(const std::vector<Object>& objects) {
  std::set<std::string_view> names;
  for (const auto& object : objects) {
    names.insert(object.name);
  }
  return names;
}

// Checks that all referenced objects exist.
void check_references(const configuration& set, finding_collector& collector) {
  const auto services = collect_names(set.services);
  const auto priorities = collect_names(set.priorities);
  const auto limit_sets = collect_names(set.limit_sets);
  const auto organisations = collect_names(set.organisations);
  const auto require_name = [&collector](const auto& names, object_kind kind,
                                         const std::string& name, std::string_view key,
                                         const std::string& target) {
    if (!names.contains(target)) {
      collector.add(kind, name, key, result_code::unknown_reference, target);
    }
  };
  for (const auto& each : set.services) {
    require_name(limit_sets, object_kind::service, each.name, "limits", each.limits);
    require_name(priorities, object_kind::service, each.name, "default_priority",
                 each.default_priority);
    for (const auto& callee : each.calls) {
      require_name(services, object_kind::service, each.name, "calls", callee);
    }
  }
  for (const auto& each : set.routes) {
    require_name(services, object_kind::route, each.name, "service", each.service);
    require_name(priorities, object_kind::route, each.name, "priority", each.priority);
  }
  for (const auto& each : set.host_routes) {
    for (const auto& target : each.targets) {
      if (const auto parsed = parse_target(target)) {
        require_name(services, object_kind::host_route, each.name, "targets", parsed->service);
      }
    }
    require_name(priorities, object_kind::host_route, each.name, "priority", each.priority);
    if (!each.returning_priority.empty()) {
      require_name(priorities, object_kind::host_route, each.name, "returning_priority",
                   each.returning_priority);
    }
  }
  for (const auto& each : set.caller_policies) {
    if (!each.default_organisation.empty()) {
      require_name(organisations, object_kind::caller_policy, each.name, "default_organisation",
                   each.default_organisation);
    }
  }
}

void check_ranks(const configuration& set, finding_collector& collector) {
  std::map<std::uint8_t, std::string_view> owners;
  for (const auto& each : set.priorities) {
    if (const auto [owner, is_new] = owners.emplace(each.rank, each.name); !is_new) {
      collector.add(object_kind::priority, each.name, "rank", result_code::duplicate_rank,
                    absl::StrCat("rank ", static_cast<int>(each.rank), " is already used by ",
                                 std::string(owner->second)));
    }
  }
}

void check_shares(const configuration& set, finding_collector& collector) {
  double sum = 0.0;
  for (const auto& each : set.organisations) {
    const double before = sum;
    sum += each.guaranteed_share;
    // Report only the first organisation that makes the sum exceed 1, to avoid repeated findings.
    if (before <= 1.0 + share_tolerance && sum > 1.0 + share_tolerance) {
      collector.add(object_kind::organisation, each.name, "guaranteed_share",
                    result_code::shares_exceeded,
                    absl::StrCat("the sum is ", sum, " including this organisation"));
    }
  }
}

// Checks the keys, which findings show in their masked form only.
void check_keys(const configuration& set, finding_collector& collector) {
  std::map<std::string_view, std::string_view> owners;
  for (const auto& each : set.organisations) {
    for (const auto& key : each.keys) {
      if (!is_valid_key(key)) {
        collector.add(object_kind::organisation, each.name, "keys", result_code::out_of_range,
                      absl::StrCat(masked_key(key), ": 1 to ", max_key_size,
                                   " printable ASCII characters without spaces are expected"));
      }
      if (const auto [owner, is_new] = owners.emplace(key, each.name); !is_new) {
        collector.add(
            object_kind::organisation, each.name, "keys", result_code::key_in_use,
            absl::StrCat(masked_key(key), " is already a key of ", std::string(owner->second)));
      }
    }
  }
}

// Checks that a service accepts at least as many connections as it has slots, and that each
// non-zero guaranteed share amounts to at least one slot of the service in a data centre.
void check_slots(const configuration& set, finding_collector& collector) {
  for (const auto& each : set.services) {
    if (each.connections < each.slots) {
      collector.add(object_kind::service, each.name, "connections", result_code::slots_exceeded,
                    absl::StrCat(each.slots, " slots need at least as many connections"));
    }
    const double slots = static_cast<double>(each.slots) * each.expected_upstreams;
    for (const auto& owner : set.organisations) {
      const double share_slots = owner.guaranteed_share * slots;
      if (owner.guaranteed_share > 0.0 && share_slots < 1.0 - share_tolerance) {
        collector.add(object_kind::service, each.name, "slots", result_code::slots_exceeded,
                      absl::StrCat("the share of ", owner.name, " is ", share_slots,
                                   " slots in a data centre, less than one"));
      }
    }
  }
}

void check_limits(const configuration& set, finding_collector& collector) {
  for (const auto& each : set.limit_sets) {
    if (each.queue_target > each.queue_bound) {
      collector.add(object_kind::limits, each.name, "queue_target_ms", result_code::out_of_range,
                    "must be at most queue_bound_ms");
    }
    if (each.queue_bound >= each.default_deadline) {
      collector.add(object_kind::limits, each.name, "queue_bound_ms", result_code::out_of_range,
                    "must be less than default_deadline_ms");
    }
  }
}

} // namespace

std::vector<finding> validate(const configuration& set, const std::vector<object_source>& sources,
                              const std::string& set_name) {
  finding_collector collector(sources, set_name);
  check_required_objects(set, collector);
  check_names(set, collector);
  check_references(set, collector);
  check_ranks(set, collector);
  check_shares(set, collector);
  check_keys(set, collector);
  check_slots(set, collector);
  check_limits(set, collector);
  check_call_graph(set, collector);
  check_routes(set, collector);
  check_host_routes(set, collector);
  return collector.take();
}

} // namespace acaciasill::model

#include "route_check.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"
#include "acaciasill/model/validation.h"

namespace acaciasill::model {
namespace {

using support::result_code;

// Longest path prefix of a route in bytes.
constexpr std::size_t max_prefix_size = 1024;

bool is_known_method(std::string_view method) {
  return std::find(std::begin(route_methods), std::end(route_methods), method) !=
         std::end(route_methods);
}

bool is_valid_prefix(std::string_view prefix) {
  const auto allowed = [](char letter) {
    return letter > ' ' && letter < '\x7f' && letter != '?' && letter != '#';
  };
  return !prefix.empty() && prefix.front() == '/' && prefix.size() <= max_prefix_size &&
         std::all_of(prefix.begin(), prefix.end(), allowed);
}

void check_fields(const route& each, finding_collector& collector) {
  if (!is_valid_prefix(each.path_prefix)) {
    collector.add(object_kind::route, each.name, "path_prefix", result_code::out_of_range,
                  "a path that starts with / and has no query is expected");
  }
  for (const auto& method : each.methods) {
    if (!is_known_method(method)) {
      collector.add(object_kind::route, each.name, "methods", result_code::out_of_range, method);
    }
  }
  if (each.claim_key && each.idempotent) {
    collector.add(object_kind::route, each.name, "claim_key", result_code::out_of_range,
                  "only a route that is not idempotent may claim keys");
  }
}

// The routes of one service and path prefix, by the methods that they match. The empty method
// stands for a route that matches all methods.
struct prefix_routes {
  std::map<std::string_view, std::string_view> routes_by_method;
};

void record_method(const route& each, std::string_view method, prefix_routes& group,
                   finding_collector& collector) {
  const auto [owner, is_new] = group.routes_by_method.emplace(method, each.name);
  if (is_new) {
    return;
  }
  const std::string method_text = method.empty() ? "every method" : std::string(method);
  collector.add(object_kind::route, each.name, "path_prefix", result_code::unreachable_route,
                absl::StrCat(method_text, " of ", each.path_prefix, " is already matched by route ",
                             std::string(owner->second)));
}

} // namespace

void check_routes(const configuration& set, finding_collector& collector) {
  std::map<std::pair<std::string_view, std::string_view>, prefix_routes> groups;
  for (const auto& each : set.routes) {
    check_fields(each, collector);
    auto& group = groups[{each.service, each.path_prefix}];
    if (each.methods.empty()) {
      record_method(each, "", group, collector);
    }
    for (const auto& method : each.methods) {
      record_method(each, method, group, collector);
    }
  }
  // A route for all methods is unreachable if other routes list each method.
  for (const auto& [key, group] : groups) {
    const auto all_methods = group.routes_by_method.find("");
    if (all_methods != group.routes_by_method.end() &&
        group.routes_by_method.size() > std::size(route_methods)) {
      collector.add(object_kind::route, std::string(all_methods->second), "path_prefix",
                    result_code::unreachable_route,
                    "other routes list every method for this prefix");
    }
  }
}

} // namespace acaciasill::model

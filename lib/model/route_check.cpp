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

// The longest path prefix of a route, in bytes.
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

void check_fields(const route& each, finding_log& log) {
  if (!is_valid_prefix(each.path_prefix)) {
    log.add(object_kind::route, each.name, "path_prefix", result_code::out_of_range,
            "a path that starts with / and holds no query");
  }
  for (const auto& method : each.methods) {
    if (!is_known_method(method)) {
      log.add(object_kind::route, each.name, "methods", result_code::out_of_range, method);
    }
  }
  if (each.claim_key && each.idempotent) {
    log.add(object_kind::route, each.name, "claim_key", result_code::out_of_range,
            "only a route that is not idempotent claims keys");
  }
}

// The routes that share a service and a prefix, and the methods that they have taken so far. The
// empty method stands for a route that names none.
struct prefix_routes {
  std::map<std::string_view, std::string_view> owners;
};

void take_method(const route& each, std::string_view method, prefix_routes& taken,
                 finding_log& log) {
  const auto [owner, is_new] = taken.owners.emplace(method, each.name);
  if (is_new) {
    return;
  }
  const std::string what = method.empty() ? "every method" : std::string(method);
  log.add(
      object_kind::route, each.name, "path_prefix", result_code::unreachable_route,
      absl::StrCat(what, " of ", each.path_prefix, " goes to route ", std::string(owner->second)));
}

} // namespace

void check_routes(const configuration& set, finding_log& log) {
  std::map<std::pair<std::string_view, std::string_view>, prefix_routes> groups;
  for (const auto& each : set.routes) {
    check_fields(each, log);
    auto& taken = groups[{each.service, each.path_prefix}];
    if (each.methods.empty()) {
      take_method(each, "", taken, log);
    }
    for (const auto& method : each.methods) {
      take_method(each, method, taken, log);
    }
  }
  // A route for every method is out of reach where others name all of them.
  for (const auto& [key, taken] : groups) {
    const auto all_methods = taken.owners.find("");
    if (all_methods != taken.owners.end() && taken.owners.size() > std::size(route_methods)) {
      log.add(object_kind::route, std::string(all_methods->second), "path_prefix",
              result_code::unreachable_route, "other routes name every method of the prefix");
    }
  }
}

} // namespace acaciasill::model

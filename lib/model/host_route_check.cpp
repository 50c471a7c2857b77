#include "host_route_check.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"
#include "acaciasill/model/snapshot.h"

namespace acaciasill::model {
namespace {

using support::result_code;

// The longest host and path prefix of a route, in bytes.
constexpr std::size_t max_host_size = 255;
constexpr std::size_t max_prefix_size = 1024;

bool is_printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char letter) { return letter > ' ' && letter < '\x7f'; });
}

bool is_valid_prefix(std::string_view prefix) {
  return prefix.starts_with('/') && prefix.ends_with('/') && prefix.size() <= max_prefix_size &&
         is_printable(prefix) && prefix.find_first_of("?#") == std::string_view::npos;
}

void check_targets(const host_route& each, finding_log& log) {
  std::uint64_t weights = 0;
  for (const auto& text : each.targets) {
    const auto target = parse_target(text);
    if (!target) {
      log.add(object_kind::host_route, each.name, "targets", result_code::out_of_range,
              absl::StrCat("a service, or service=weight, is expected: ", text));
      return;
    }
    weights += target->weight;
  }
  if (weights == 0) {
    log.add(object_kind::host_route, each.name, "targets", result_code::unreachable_route,
            "no target has a weight");
  }
}

void check_fields(const host_route& each, finding_log& log) {
  if (each.host.empty() || each.host.size() > max_host_size || !is_printable(each.host)) {
    log.add(object_kind::host_route, each.name, "host", result_code::out_of_range,
            "the name of a host");
  }
  if (!is_valid_prefix(each.path_prefix)) {
    log.add(object_kind::host_route, each.name, "path_prefix", result_code::out_of_range,
            "a path that starts and ends with / and holds no query");
  }
}

} // namespace

void check_host_routes(const configuration& set, finding_log& log) {
  using place = std::pair<std::string_view, std::string_view>;
  std::map<place, std::string_view> owners;
  for (const auto& each : set.host_routes) {
    check_fields(each, log);
    check_targets(each, log);
    const auto [owner, is_new] = owners.emplace(place(each.host, each.path_prefix), each.name);
    if (!is_new) {
      log.add(
          object_kind::host_route, each.name, "path_prefix", result_code::unreachable_route,
          absl::StrCat(each.host, each.path_prefix, " goes to route ", std::string(owner->second)));
    }
  }
}

} // namespace acaciasill::model

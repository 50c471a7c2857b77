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

// Longest host name and path prefix of a host route in bytes.
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

void check_targets(const host_route& each, finding_collector& collector) {
  if (each.is_unusable) {
    return;
  }
  std::uint64_t total_weight = 0;
  for (const auto& text : each.targets) {
    const auto target = parse_target(text);
    if (!target) {
      collector.add(object_kind::host_route, each.name, "targets", result_code::out_of_range,
                    absl::StrCat("service or service=weight is expected: ", text));
      return;
    }
    total_weight += target->weight;
  }
  if (total_weight == 0) {
    collector.add(object_kind::host_route, each.name, "targets", result_code::unreachable_route,
                  "at least one target needs a weight above 0");
  }
}

void check_fields(const host_route& each, finding_collector& collector) {
  if (each.host.empty() || each.host.size() > max_host_size || !is_printable(each.host)) {
    collector.add(object_kind::host_route, each.name, "host", result_code::out_of_range,
                  "a host name of printable ASCII characters without spaces is expected");
  }
  if (!is_valid_prefix(each.path_prefix)) {
    collector.add(object_kind::host_route, each.name, "path_prefix", result_code::out_of_range,
                  "a path that starts and ends with / and has no query is expected");
  }
}

} // namespace

void check_host_routes(const configuration& set, finding_collector& collector) {
  using host_and_prefix = std::pair<std::string_view, std::string_view>;
  std::map<host_and_prefix, std::string_view> owners;
  for (const auto& each : set.host_routes) {
    check_fields(each, collector);
    check_targets(each, collector);
    const auto [owner, is_new] =
        owners.emplace(host_and_prefix(each.host, each.path_prefix), each.name);
    if (!is_new) {
      collector.add(object_kind::host_route, each.name, "path_prefix",
                    result_code::unreachable_route,
                    absl::StrCat(each.host, each.path_prefix, " is already matched by route ",
                                 std::string(owner->second)));
    }
  }
}

} // namespace acaciasill::model

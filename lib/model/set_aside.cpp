#include "acaciasill/model/set_aside.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>
#include <string>
#include <string_view>

#include "absl/strings/str_cat.h"
#include "acaciasill/model/configuration_set.h"
#include "acaciasill/model/key_index.h"
#include "acaciasill/model/validation.h"

namespace acaciasill::model {
namespace {

// Removes the last object of that name, since of objects with equal names the first one counts.
template <typename Object>
bool remove_last(std::vector<Object>& objects, std::string_view name) {
  const auto found = std::find_if(objects.rbegin(), objects.rend(),
                                  [name](const Object& each) { return each.name == name; });
  if (found == objects.rend()) {
    return false;
  }
  objects.erase(std::prev(found.base()));
  return true;
}

// Removes keys that callers cannot send, and keys that an earlier organisation has. Returns whether
// there were any.
bool remove_invalid_keys(std::vector<organisation>& organisations) {
  std::set<std::string> taken;
  std::size_t removed = 0;
  for (auto& each : organisations) {
    removed += std::erase_if(each.keys, [&taken](const std::string& key) {
      return !is_valid_key(key) || !taken.insert(key).second;
    });
  }
  return removed > 0;
}

bool make_unusable(std::vector<host_route>& routes, std::string_view name) {
  const auto found = std::find_if(routes.begin(), routes.end(),
                                  [name](const host_route& each) { return each.name == name; });
  if (found == routes.end() || found->is_unusable) {
    return false;
  }
  found->is_unusable = true;
  found->targets.clear();
  return true;
}

// Returns whether the set was changed.
bool resolve(configuration& set, object_kind kind, std::string_view name, std::string_view key) {
  if (kind == object_kind::organisation && key == "keys") {
    return remove_invalid_keys(set.organisations);
  }
  const bool can_match_requests = key != "name" && key != "host" && key != "path_prefix";
  if (kind == object_kind::host_route && can_match_requests) {
    return make_unusable(set.host_routes, name);
  }
  bool changed = false;
  for_each_kind(set, [&](object_kind present, auto& objects) {
    if (present == kind) {
      changed = remove_last(objects, name);
    }
  });
  return changed;
}

// Resolves a finding about an object. Returns whether the set was changed.
bool resolve(configuration& set, const finding& problem) {
  bool changed = false;
  for_each_kind(set, [&](object_kind kind, auto& objects) {
    for (const auto& each : objects) {
      if (!changed &&
          problem.object == absl::StrCat(std::string(kind_name(kind)), " ", each.name)) {
        changed = resolve(set, kind, std::string(each.name), problem.key);
        return;
      }
    }
  });
  return changed;
}

} // namespace

std::vector<finding> set_aside_invalid_objects(configuration& set) {
  std::vector<finding> all;
  bool changed = true;
  while (changed) {
    changed = false;
    normalise(set);
    // Removing an object may make those invalid that refer to it.
    auto findings = validate(set, {}, "set");
    for (const auto& problem : findings) {
      changed = resolve(set, problem) || changed;
    }
    // One change may resolve several findings, for example all about keys, and each is reported.
    if (changed) {
      std::move(findings.begin(), findings.end(), std::back_inserter(all));
    }
  }
  return all;
}

} // namespace acaciasill::model

#include "acaciasill/model/snapshot.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <tuple>
#include <utility>

#include "acaciasill/model/validation.h"
#include "acaciasill/support/hash.h"

namespace acaciasill::model {
namespace {

// Returns the mask bit of a method that routes may list, or 0 for any other method.
std::uint32_t method_bit(std::string_view method) {
  const auto found = std::find(std::begin(route_methods), std::end(route_methods), method);
  if (found == std::end(route_methods)) {
    return 0;
  }
  return std::uint32_t{1} << static_cast<std::uint32_t>(found - std::begin(route_methods));
}

// Idempotent methods as HTTP defines them.
bool is_idempotent_method(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "PUT" ||
         method == "DELETE";
}

bool has_prefix(std::string_view path, std::string_view prefix) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return prefix.back() == '/' || path.size() == prefix.size() || path[prefix.size()] == '/';
}

bool matches_method(const compiled_route& each, std::uint32_t bit) {
  return each.method_mask == 0 || (each.method_mask & bit) != 0;
}

template <typename Object>
name_index index_names(const std::vector<Object>& objects) {
  std::vector<std::string> names;
  names.reserve(objects.size());
  for (const auto& object : objects) {
    names.push_back(object.name);
  }
  return name_index(std::move(names));
}

compiled_route compile_route(const route& each, std::uint32_t index, std::uint8_t rank) {
  std::uint32_t mask = 0;
  for (const auto& method : each.methods) {
    mask |= method_bit(method);
  }
  return {each.path_prefix, mask, {index, rank, each.idempotent, each.claim_key}};
}

// Sorts routes into matching order: by decreasing prefix length, then routes that list methods
// before routes for all methods.
void sort_routes(std::vector<compiled_route>& routes) {
  std::stable_sort(routes.begin(), routes.end(),
                   [](const compiled_route& left, const compiled_route& right) {
                     if (left.path_prefix.size() != right.path_prefix.size()) {
                       return left.path_prefix.size() > right.path_prefix.size();
                     }
                     return left.method_mask != 0 && right.method_mask == 0;
                   });
}

// Returns all services that a call to the start may reach, including the start, in ascending order.
std::vector<service_index> find_reachable(const std::vector<compiled_service>& services,
                                          service_index start) {
  std::vector<service_index> reachable_services = {start};
  std::vector<bool> seen(services.size(), false);
  seen[start] = true;
  for (std::size_t next = 0; next < reachable_services.size(); ++next) {
    for (const auto callee : services[reachable_services[next]].calls) {
      if (!seen[callee]) {
        seen[callee] = true;
        reachable_services.push_back(callee);
      }
    }
  }
  std::sort(reachable_services.begin(), reachable_services.end());
  return reachable_services;
}

// Looks up a name whose existence validation has confirmed.
std::uint32_t find_existing(const name_index& names, std::string_view name) {
  return names.find(name).value();
}

compiled_host_route compile_host_route(const host_route& each, std::uint32_t index,
                                       const name_index& services) {
  compiled_host_route compiled;
  compiled.index = index;
  compiled.host = each.host;
  compiled.path_prefix = each.path_prefix;
  compiled.idempotent = each.idempotent;
  compiled.timeout = each.timeout;
  compiled.target_latency = each.target_latency;
  compiled.attempts = each.attempts;
  compiled.is_public = each.is_public;
  for (const auto& text : each.targets) {
    if (const auto target = parse_target(text); target && target->weight > 0) {
      compiled.targets.push_back({find_existing(services, target->service), target->weight});
    }
  }
  return compiled;
}

} // namespace

std::optional<service_index> snapshot::find_service(std::string_view name) const {
  return service_names_.find(name);
}

std::optional<organisation_index> snapshot::find_organisation(std::string_view name) const {
  return organisation_names_.find(name);
}

std::uint64_t hash_organisation(std::string_view name) {
  return support::hash64(name);
}

std::optional<organisation_index> snapshot::find_organisation_by_hash(std::uint64_t hash) const {
  const auto found = organisation_hashes_.find(hash);
  return found == organisation_hashes_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::uint8_t> snapshot::find_rank(std::string_view priority) const {
  if (const auto index = priority_names_.find(priority)) {
    return set_.priorities[*index].rank;
  }
  return std::nullopt;
}

const compiled_caller_policy* snapshot::find_caller_policy(std::string_view name) const {
  if (const auto index = caller_policy_names_.find(name)) {
    return &caller_policies_[*index];
  }
  return nullptr;
}

call_classification snapshot::classify(service_index service, std::string_view method,
                                       std::string_view path) const {
  const auto& target = services_[service];
  const std::uint32_t bit = method_bit(method);
  const std::string_view before_query = path.substr(0, path.find('?'));
  const std::string_view plain_path = before_query.empty() ? "/" : before_query;
  for (const auto& candidate : target.routes) {
    if (matches_method(candidate, bit) && has_prefix(plain_path, candidate.path_prefix)) {
      return candidate.classification;
    }
  }
  return {std::nullopt, target.default_rank, is_idempotent_method(method), false};
}

std::optional<route_target> parse_target(std::string_view text) {
  const auto equals = text.rfind('=');
  if (equals == std::string_view::npos) {
    return text.empty() ? std::nullopt : std::optional(route_target{std::string(text), 1});
  }
  const auto number = text.substr(equals + 1);
  std::uint32_t weight = 0;
  const auto [end, problem] = std::from_chars(number.data(), number.data() + number.size(), weight);
  if (problem != std::errc() || end != number.data() + number.size() || equals == 0 ||
      weight > max_target_weight) {
    return std::nullopt;
  }
  return route_target{std::string(text.substr(0, equals)), weight};
}

const compiled_host_route* snapshot::find_host_route(std::string_view host,
                                                     std::string_view path) const {
  const auto plain_path = path.substr(0, path.find('?'));
  const auto match_key = [](const compiled_host_route& each) {
    return std::pair<std::string_view, std::string_view>(each.host, each.path_prefix);
  };
  // Prefixes end with a slash, so the candidates are the parts of the path up to each slash,
  // longest first.
  for (auto end = plain_path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : plain_path.rfind('/', end - 1)) {
    const std::pair wanted(host, plain_path.substr(0, end + 1));
    const auto found = std::lower_bound(
        host_routes_.begin(), host_routes_.end(), wanted,
        [&](const compiled_host_route& each, const auto& key) { return match_key(each) < key; });
    if (found != host_routes_.end() && match_key(*found) == wanted) {
      return &*found;
    }
  }
  return nullptr;
}

absl::StatusOr<snapshot> compile_snapshot(configuration set) {
  normalise(set);
  if (const auto findings = validate(set, {}, "set"); !findings.empty()) {
    return support::make_error(findings.front().code, format_finding(findings.front()));
  }
  snapshot result;
  result.service_names_ = index_names(set.services);
  result.organisation_names_ = index_names(set.organisations);
  result.priority_names_ = index_names(set.priorities);
  result.caller_policy_names_ = index_names(set.caller_policies);
  const auto limit_names = index_names(set.limit_sets);
  const auto rank_of = [&](std::string_view name) {
    return set.priorities[find_existing(result.priority_names_, name)].rank;
  };
  for (const auto& each : set.services) {
    compiled_service compiled{each.name,
                              set.limit_sets[find_existing(limit_names, each.limits)],
                              rank_of(each.default_priority),
                              each.slots,
                              each.connections,
                              each.expected_upstreams,
                              {},
                              {},
                              {}};
    for (const auto& callee : each.calls) {
      compiled.calls.push_back(find_existing(result.service_names_, callee));
    }
    result.services_.push_back(std::move(compiled));
  }
  for (std::uint32_t i = 0; i < set.routes.size(); ++i) {
    const auto& each = set.routes[i];
    const auto owner = find_existing(result.service_names_, each.service);
    result.services_[owner].routes.push_back(compile_route(each, i, rank_of(each.priority)));
  }
  for (service_index i = 0; i < result.services_.size(); ++i) {
    sort_routes(result.services_[i].routes);
    result.services_[i].reachable = find_reachable(result.services_, i);
  }
  for (const auto& each : set.organisations) {
    result.organisation_hashes_.emplace(
        hash_organisation(each.name),
        static_cast<organisation_index>(result.organisations_.size()));
    result.organisations_.push_back({each.name, each.guaranteed_share, each.weight,
                                     each.rank_offset, each.rate_limit, each.burst});
  }
  result.keys_ = key_index(set.organisations);
  for (const auto& each : set.caller_policies) {
    result.caller_policies_.push_back(
        {each, result.organisation_names_.find(each.default_organisation)});
  }
  for (std::uint32_t i = 0; i < set.host_routes.size(); ++i) {
    const auto& each = set.host_routes[i];
    auto compiled = compile_host_route(each, i, result.service_names_);
    compiled.rank = rank_of(each.priority);
    compiled.returning_rank =
        each.returning_priority.empty() ? compiled.rank : rank_of(each.returning_priority);
    result.host_routes_.push_back(std::move(compiled));
  }
  std::sort(result.host_routes_.begin(), result.host_routes_.end(),
            [](const compiled_host_route& left, const compiled_host_route& right) {
              return std::tie(left.host, left.path_prefix) <
                     std::tie(right.host, right.path_prefix);
            });
  result.set_ = std::move(set);
  return result;
}

} // namespace acaciasill::model

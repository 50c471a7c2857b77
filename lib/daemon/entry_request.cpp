#include "acaciasill/daemon/entry_request.h"

#include <algorithm>
#include <utility>

#include "acaciasill/board/call_board.h"
#include "acaciasill/daemon/call_context.h"
#include "acaciasill/daemon/entry_calls.h"
#include "acaciasill/net/http_text.h"
#include "acaciasill/support/hash.h"
#include "acaciasill/support/result_code.h"

namespace acaciasill::daemon {
namespace {

using support::make_error;
using support::result_code;

constexpr std::uint8_t max_depth = 32;

// The two parts of a call's path.
struct call_target {
  std::string_view service;
  // Path and query after the service name, with the leading slash if there is one.
  std::string_view rest;
};

std::optional<call_target> split_target(std::string_view target) {
  constexpr std::string_view prefix = call_prefix;
  if (target.substr(0, prefix.size()) != prefix) {
    return std::nullopt;
  }
  const auto path = target.substr(prefix.size());
  const auto end = path.find_first_of("/?");
  const auto service = path.substr(0, end);
  if (service.empty()) {
    return std::nullopt;
  }
  return call_target{service,
                     end == std::string_view::npos ? std::string_view{} : path.substr(end)};
}

std::string absolute_target(std::string_view rest) {
  std::string target(rest);
  if (target.empty() || target.front() != '/') {
    target.insert(target.begin(), '/');
  }
  return target;
}

std::uint32_t call_kind(std::string_view name) {
  return static_cast<std::uint32_t>(support::hash64(name));
}

wire::request_id generate_id(support::random_source& random) {
  return {random(), random() | 1U};
}

// Applies the policy for outside callers.
absl::Status apply_outside_policy(const model::snapshot& snapshot, const net::call_headers& headers,
                                  const model::limits& limits, entry_request& result) {
  const auto* compiled = snapshot.find_caller_policy(model::outside_policy_name);
  const model::caller_policy policy =
      compiled != nullptr ? compiled->policy : model::caller_policy{};
  auto& call = result.call;
  call.organisation = policy.may_set_organisation && !headers.organisation.empty()
                          ? headers.organisation
                          : policy.default_organisation;
  if (call.organisation.empty()) {
    return make_error(result_code::unknown_organisation,
                      "call has no organisation and the caller policy has no default");
  }
  if (!headers.priority.empty()) {
    const auto rank = snapshot.find_rank(headers.priority);
    if (!rank) {
      return make_error(result_code::bad_request, "unknown priority " + headers.priority);
    }
    // A caller may always lower the priority of its call.
    call.rank = policy.may_set_priority ? *rank : std::max(call.rank, *rank);
  }
  result.retry_budget = limits.spare_attempts;
  if (headers.retry_budget) {
    result.retry_budget = policy.may_set_retry_budget
                              ? *headers.retry_budget
                              : std::min(*headers.retry_budget, limits.spare_attempts);
  }
  return absl::OkStatus();
}

void apply_context(const call_context& context, entry_request& result) {
  result.from_backend = true;
  result.call.organisation = context.organisation;
  result.call.rank = context.rank;
  result.call.depth = static_cast<std::uint8_t>(context.depth + 1);
  result.deadline = std::min(result.deadline, context.deadline);
}

void forward_headers(std::vector<wire::header_field> fields, wire::call_request& call) {
  for (auto& field : fields) {
    if (!net::is_call_header(field.name) && !net::is_connection_header(field.name)) {
      call.headers.push_back(std::move(field));
    }
  }
}

void find_slots(const board::configuration_view& view, model::service_index service,
                const model::call_classification& facts, model::organisation_index organisation,
                entry_request& result) {
  result.organisation_slot = view.organisation_slots[organisation];
  result.service_slot = view.service_slots[service];
  result.threshold_subject =
      facts.route ? board::service_capacity + view.route_slots[*facts.route] : result.service_slot;
}

std::uint8_t add_offset(std::uint8_t rank, std::uint8_t offset) {
  return static_cast<std::uint8_t>(std::min<int>(model::max_priority_rank, rank + offset));
}

// Determines the organisation of a host request and whether the local backend server may have made
// it. Calls of backend servers carry no key.
absl::Status find_caller(const board::configuration_view& view,
                         const model::compiled_caller_policy& policy,
                         std::optional<std::string_view> key, bool is_public,
                         entry_request& result) {
  auto organisation = *policy.default_organisation;
  if (!policy.policy.requires_key) {
    result.may_be_backend_call = true;
  } else if (!key) {
    result.may_be_backend_call = true;
    result.needs_parent = !is_public;
    result.inherits_organisation = !is_public;
    result.is_public = is_public;
  } else if (const auto owner = view.snapshot.find_key_owner(*key)) {
    organisation = *owner;
    result.limited = view.limits[organisation];
  } else if (!is_public) {
    return make_error(result_code::unauthenticated);
  }
  set_organisation(view, organisation, result);
  return absl::OkStatus();
}

// Selects a target service at random, in proportion to the weights.
model::service_index choose_target(const model::compiled_host_route& route,
                                   support::random_source& random) {
  std::uint64_t weights = 0;
  for (const auto& target : route.targets) {
    weights += target.weight;
  }
  auto drawn = support::uniform_below(random, weights);
  for (const auto& target : route.targets) {
    if (drawn < target.weight) {
      return target.service;
    }
    drawn -= target.weight;
  }
  return route.targets.back().service;
}

std::string_view host_name(const net::http_request& request) {
  const auto* host = net::find_field(request.headers, "host");
  if (host == nullptr) {
    return {};
  }
  const std::string_view text = *host;
  const auto colon = text.rfind(':');
  return colon == std::string_view::npos ? text : text.substr(0, colon);
}

} // namespace

absl::StatusOr<entry_request> read_host_request(const board::configuration_view& view,
                                                net::http_request& request,
                                                const host_request_facts& facts,
                                                support::time_point now,
                                                support::random_source& random) {
  if (!view.ready) {
    return make_error(result_code::not_ready);
  }
  const auto* route = view.snapshot.find_host_route(host_name(request), request.target);
  if (route == nullptr) {
    return make_error(result_code::no_route);
  }
  if (route->targets.empty()) {
    return make_error(result_code::no_upstream, "the route is unusable");
  }
  const auto service = choose_target(*route, random);
  const auto& compiled = view.snapshot.service(service);
  const auto* policy = view.snapshot.find_caller_policy(model::outside_policy_name);
  if (policy == nullptr || !policy->default_organisation) {
    return make_error(result_code::unknown_organisation,
                      "caller policy has no default organisation");
  }

  entry_request result;
  auto& call = result.call;
  call.id = facts.id;
  call.service = compiled.name;
  call.method = request.method;
  call.rank = route->rank;
  call.idempotent = route->idempotent;
  result.returning_rank = route->returning_rank;
  if (const auto status = find_caller(view, *policy, facts.key, route->is_public, result);
      !status.ok()) {
    return status;
  }
  result.stated_parent = facts.stated_parent;
  result.route = view.snapshot.set().host_routes[route->index].name;
  call.kind = call_kind(result.route);
  result.collapses_duplicates = false;
  result.retry_budget = compiled.limits.spare_attempts;
  result.max_runs = route->attempts;
  result.bounds_attempt_time = false;
  result.inherits_rank = true;
  result.deadline = now + std::min(facts.deadline.value_or(route->timeout), route->timeout);
  result.caller_time_left = facts.deadline;
  result.destination_calls_others = !compiled.calls.empty();
  // Host routes may lead to services whose calls are not declared.
  result.lends_attempts = true;
  result.retry_ratio = compiled.limits.retry_ratio;
  if (result.deadline <= now) {
    return make_error(result_code::deadline_exceeded);
  }
  result.service_slot = view.service_slots[service];
  result.threshold_subject = board::service_capacity + view.host_route_slots[route->index];
  call.target = std::move(request.target);
  forward_headers(std::move(request.headers), call);
  call.body = std::move(request.body);
  return result;
}

void set_organisation(const board::configuration_view& view, model::organisation_index organisation,
                      entry_request& request) {
  const auto& compiled = view.snapshot.organisation(organisation);
  request.call.organisation = compiled.name;
  request.organisation_slot = view.organisation_slots[organisation];
  request.call.rank = add_offset(request.call.rank, compiled.rank_offset);
  request.returning_rank = add_offset(request.returning_rank, compiled.rank_offset);
}

void mark_as_backend_call(entry_request& request, const wire::request_id& running) {
  request.from_backend = true;
  request.call.id = running;
  request.call.holds_finished_work = true;
  request.retry_budget = 0;
  request.caller_time_left.reset();
}

absl::StatusOr<entry_request>
read_entry_request(const board::configuration_view& view, net::http_request request,
                   const net::call_headers& headers, support::hmac_signer& signer,
                   support::time_point now, support::random_source& random) {
  if (!view.ready) {
    return make_error(result_code::not_ready);
  }
  const auto target = split_target(request.target);
  if (!target) {
    return make_error(result_code::no_route);
  }
  const auto service = view.snapshot.find_service(target->service);
  if (!service) {
    return make_error(result_code::unknown_service, target->service);
  }
  const auto& compiled = view.snapshot.service(*service);

  entry_request result;
  auto& call = result.call;
  call.id = headers.id ? *headers.id : generate_id(random);
  call.service = compiled.name;
  call.method = request.method;
  call.target = absolute_target(target->rest);
  call.idempotency_key = headers.idempotency_key;
  const auto facts = view.snapshot.classify(*service, call.method, call.target);
  call.rank = facts.rank;
  call.idempotent = facts.idempotent;
  call.kind = call_kind(facts.route ? view.snapshot.set().routes[*facts.route].name : call.service);
  if (facts.claim_key && !facts.idempotent && call.idempotency_key.empty()) {
    return make_error(result_code::bad_request, "route requires an idempotency-key header");
  }
  result.deadline = now + headers.deadline.value_or(compiled.limits.default_deadline);
  result.destination_calls_others = !compiled.calls.empty();
  result.lends_attempts = result.destination_calls_others;
  result.retry_ratio = compiled.limits.retry_ratio;

  if (const auto context = parse_context(headers.context, call.id, signer)) {
    apply_context(*context, result);
  } else if (const auto status =
                 apply_outside_policy(view.snapshot, headers, compiled.limits, result);
             !status.ok()) {
    return status;
  }
  if (call.depth > max_depth) {
    return make_error(result_code::bad_request, "call chain exceeds the maximum depth");
  }
  if (result.deadline <= now) {
    return make_error(result_code::deadline_exceeded);
  }
  const auto organisation = view.snapshot.find_organisation(call.organisation);
  if (!organisation) {
    return make_error(result_code::unknown_organisation, call.organisation);
  }
  find_slots(view, *service, facts, *organisation, result);
  forward_headers(std::move(request.headers), call);
  call.body = std::move(request.body);
  return result;
}

} // namespace acaciasill::daemon

#ifndef ACACIASILL_MODEL_OBJECT_FIELDS_H
#define ACACIASILL_MODEL_OBJECT_FIELDS_H

#include <cstdint>
#include <string_view>

#include "acaciasill/model/configuration.h"
#include "acaciasill/model/settings_reader.h"

// Lists the fields of every configuration object with their keys and ranges. The YAML reader, the
// JSON writer and the JSON reader are all visitors of these lists, which keeps them consistent.
namespace acaciasill::model {

// Kinds of configuration objects, in the order in which a set lists them.
enum class object_kind : std::uint8_t {
  data_centre,
  organisation,
  priority,
  limits,
  service,
  route,
  host_route,
  caller_policy,
};

// Returns the name of the kind as it appears after "kind:" in YAML.
constexpr std::string_view kind_name(object_kind kind) {
  constexpr std::string_view names[] = {"data_centre", "organisation", "priority",
                                        "limits",      "service",      "route",
                                        "host_route",  "caller_policy"};
  return names[static_cast<std::size_t>(kind)];
}

inline constexpr double min_weight = 0.001;
inline constexpr double max_weight = 1000.0;
// Requests per second, or requests at once.
inline constexpr double max_rate_limit = 1e9;
inline constexpr double max_retry_ratio = 1.0;
inline constexpr std::int64_t max_attempts = 100;
inline constexpr std::int64_t max_subset_size = 1000;
inline constexpr std::int64_t max_slots = 100000;
inline constexpr std::int64_t max_connections = 1000000;
inline constexpr std::int64_t max_expected_upstreams = 100000;
inline constexpr support::milliseconds min_time_span{1};
inline constexpr support::milliseconds max_queue_time{60000};
inline constexpr support::milliseconds max_deadline{600000};

template <typename Visitor>
void visit_fields(Visitor& visitor, data_centre& object) {
  visitor.text("name", object.name, presence::required);
  visitor.text("region", object.region, presence::required);
}

template <typename Visitor>
void visit_fields(Visitor& visitor, organisation& object) {
  visitor.text("name", object.name, presence::required);
  visitor.number("guaranteed_share", object.guaranteed_share, 0.0, 1.0);
  visitor.number("weight", object.weight, min_weight, max_weight);
  visitor.text_list("keys", object.keys);
  visitor.integer("rank_offset", object.rank_offset, 0, max_priority_rank);
  visitor.number("rate_limit", object.rate_limit, 0.0, max_rate_limit);
  visitor.number("burst", object.burst, 0.0, max_rate_limit);
}

template <typename Visitor>
void visit_fields(Visitor& visitor, priority_class& object) {
  visitor.text("name", object.name, presence::required);
  visitor.integer("rank", object.rank, 0, max_priority_rank, presence::required);
}

template <typename Visitor>
void visit_fields(Visitor& visitor, limits& object) {
  visitor.text("name", object.name, presence::required);
  visitor.time_span("queue_bound_ms", object.queue_bound, min_time_span, max_queue_time);
  visitor.time_span("queue_target_ms", object.queue_target, min_time_span, max_queue_time);
  visitor.time_span("default_deadline_ms", object.default_deadline, min_time_span, max_deadline);
  visitor.integer("spare_attempts", object.spare_attempts, 0, max_attempts);
  visitor.number("retry_ratio", object.retry_ratio, 0.0, max_retry_ratio);
  visitor.integer("subset_size", object.subset_size, 1, max_subset_size);
  visitor.number("ejection_cap", object.ejection_cap, 0.0, 1.0);
  visitor.time_span("slow_start_ms", object.slow_start, support::milliseconds(0), max_deadline);
  visitor.number("threshold_step", object.threshold_step, 0.001, 1.0);
  visitor.number("spill_cap", object.spill_cap, 0.0, 1.0);
  visitor.number("slot_use", object.slot_use, 0.1, 1.0);
  visitor.flag("learns_limit", object.learns_limit);
  visitor.flag("ids_travel", object.ids_travel);
}

template <typename Visitor>
void visit_fields(Visitor& visitor, service& object) {
  visitor.text("name", object.name, presence::required);
  visitor.text("limits", object.limits, presence::required);
  visitor.text("default_priority", object.default_priority, presence::required);
  visitor.integer("slots", object.slots, 1, max_slots);
  visitor.integer("connections", object.connections, 1, max_connections);
  visitor.integer("expected_upstreams", object.expected_upstreams, 1, max_expected_upstreams);
  visitor.text_list("calls", object.calls);
}

template <typename Visitor>
void visit_fields(Visitor& visitor, route& object) {
  visitor.text("name", object.name, presence::required);
  visitor.text("service", object.service, presence::required);
  visitor.text_list("methods", object.methods);
  visitor.text("path_prefix", object.path_prefix);
  visitor.text("priority", object.priority, presence::required);
  // Required, since a wrong default could run a call twice.
  visitor.flag("idempotent", object.idempotent, presence::required);
  visitor.flag("claim_key", object.claim_key);
}

template <typename Visitor>
void visit_fields(Visitor& visitor, host_route& object) {
  visitor.text("name", object.name, presence::required);
  visitor.text("host", object.host, presence::required);
  visitor.text("path_prefix", object.path_prefix);
  visitor.text_list("targets", object.targets);
  visitor.text("priority", object.priority, presence::required);
  visitor.text("returning_priority", object.returning_priority);
  // Required, since a wrong default could run a request twice.
  visitor.flag("idempotent", object.idempotent, presence::required);
  visitor.time_span("timeout_ms", object.timeout, min_time_span, max_deadline);
  visitor.time_span("target_latency_ms", object.target_latency, min_time_span, max_deadline);
  visitor.integer("attempts", object.attempts, 1, max_attempts);
  visitor.flag("is_public", object.is_public);
}

template <typename Visitor>
void visit_fields(Visitor& visitor, caller_policy& object) {
  visitor.text("name", object.name, presence::required);
  visitor.flag("may_set_organisation", object.may_set_organisation);
  visitor.flag("may_set_priority", object.may_set_priority);
  visitor.flag("may_set_retry_budget", object.may_set_retry_budget);
  visitor.flag("requires_key", object.requires_key);
  visitor.text("default_organisation", object.default_organisation);
}

// Calls the function with each kind and the list of its objects in the set.
template <typename Set, typename Function>
void for_each_kind(Set& set, Function&& function) {
  function(object_kind::data_centre, set.data_centres);
  function(object_kind::organisation, set.organisations);
  function(object_kind::priority, set.priorities);
  function(object_kind::limits, set.limit_sets);
  function(object_kind::service, set.services);
  function(object_kind::route, set.routes);
  function(object_kind::host_route, set.host_routes);
  function(object_kind::caller_policy, set.caller_policies);
}

} // namespace acaciasill::model

#endif

#include "json_values.h"

#include <iterator>

#include "acaciasill/control/simulated_cluster.h"
#include "acaciasill/support/hash.h"

namespace acaciasill::replay {
namespace {

using namespace acaciasill::control;
using nlohmann::json;
using nlohmann::ordered_json;

// Reads a member into the target, which keeps its value if the member is absent.
template <typename value>
void read_optional(const json& line, const char* key, value& target) {
  if (const auto found = line.find(key); found != line.end()) {
    target = found->get<value>();
  }
}

member read_member(const json& line) {
  member record;
  read_optional(line, "gossip", record.gossip_address);
  read_optional(line, "call", record.call_address);
  read_optional(line, "name", record.name);
  read_optional(line, "data_centre", record.data_centre);
  read_optional(line, "service", record.service);
  read_optional(line, "incarnation", record.incarnation);
  read_optional(line, "nonce", record.start_nonce);
  read_optional(line, "draining", record.draining);
  read_optional(line, "slots", record.slots);
  read_optional(line, "connections", record.connections);
  std::uint8_t state = 0;
  read_optional(line, "state", state);
  record.state = static_cast<member_state>(state);
  return record;
}

message_body read_body(const json& line) {
  std::string kind = "gossip";
  read_optional(line, "message", kind);
  if (kind == "probe" || kind == "probe_ack") {
    std::uint64_t sequence = 0;
    read_optional(line, "sequence", sequence);
    return kind == "probe" ? message_body(probe{sequence}) : message_body(probe_ack{sequence});
  }
  if (kind == "configuration_query") {
    return configuration_query{};
  }
  if (kind == "configuration_offer") {
    configuration_offer offer;
    read_optional(line, "generation", offer.generation);
    read_optional(line, "digest", offer.digest);
    return offer;
  }
  if (kind == "chunk") {
    chunk part;
    read_optional(line, "digest", part.digest);
    read_optional(line, "offset", part.offset);
    read_optional(line, "bytes", part.bytes);
    part.total = static_cast<std::uint32_t>(part.bytes.size());
    read_optional(line, "total", part.total);
    return part;
  }
  return gossip{};
}

peer_received read_datagram(const json& line) {
  peer_received input;
  read_optional(line, "from", input.from);
  read_optional(line, "sender_incarnation", input.message.sender_incarnation);
  read_optional(line, "sender_nonce", input.message.sender_nonce);
  read_optional(line, "generation_in_force", input.message.configuration_generation);
  for (const auto& update : line.value("updates", json::array())) {
    input.message.updates.push_back(read_member(update));
  }
  input.message.body = read_body(line);
  return input;
}

platform_answer read_answer(const json& line) {
  platform_answer answer;
  std::string end = "done";
  read_optional(line, "ticket", answer.ticket);
  read_optional(line, "end", end);
  read_optional(line, "bytes", answer.bytes);
  answer.end = end == "done"            ? platform_end::done
               : end == "refused"       ? platform_end::refused
               : end == "failed_before" ? platform_end::failed_before
                                        : platform_end::unknown;
  for (const auto& row : line.value("rows", json::array())) {
    answer.rows.push_back({row.at("key"), row.at("value"), row.at("version")});
  }
  return answer;
}

const char* body_name(const message_body& body) {
  constexpr const char* names[] = {"gossip",
                                   "probe",
                                   "probe_ack",
                                   "indirect_probe",
                                   "sync_digest",
                                   "bucket_digests",
                                   "sync_records",
                                   "page_request",
                                   "page",
                                   "configuration_query",
                                   "configuration_offer",
                                   "chunk_request",
                                   "chunk"};
  static_assert(std::size(names) == std::variant_size_v<message_body>);
  return names[body.index()];
}

ordered_json describe(const view_member& entry) {
  ordered_json value = {{"call", entry.call_address},       {"name", entry.name},
                        {"data_centre", entry.data_centre}, {"service", entry.service},
                        {"incarnation", entry.incarnation}, {"slots", entry.slots}};
  if (entry.suspect) {
    value["suspect"] = true;
  }
  if (entry.draining) {
    value["draining"] = true;
  }
  return value;
}

struct action_formatter {
  formatted_action operator()(const send_datagram& sent) const {
    ordered_json value = {{"send", body_name(sent.message.body)}, {"to", sent.to}};
    for (const auto& record : sent.message.updates) {
      value["about"].push_back(record.gossip_address);
    }
    return {value, true};
  }
  formatted_action operator()(const platform_request& request) const {
    if (const auto* write = std::get_if<write_rows>(&request.operation)) {
      ordered_json rows;
      for (const auto& row : write->rows) {
        rows.push_back({{"key", row.key}, {"value", row.value}, {"version", row.version}});
      }
      return {{{"write_rows", rows}}, false};
    }
    if (const auto* row = std::get_if<read_row>(&request.operation)) {
      return {{{"read_row", row->key}, {"ticket", request.ticket}}, true};
    }
    if (const auto* list = std::get_if<list_rows>(&request.operation)) {
      return {{{"list_rows", list->prefix}, {"ticket", request.ticket}}, true};
    }
    if (const auto* object = std::get_if<read_object>(&request.operation)) {
      return {{{"read_object", object->digest.substr(0, 12)}, {"ticket", request.ticket}}, true};
    }
    return {{{"write_object", std::get<write_object>(request.operation).digest}}, false};
  }
  formatted_action operator()(const set_timer& timer) const {
    const auto at = support::whole_milliseconds(timer.at - simulated_cluster::epoch);
    return {{{"set_timer", at}}, true};
  }
  formatted_action operator()(const publish_view& published) const {
    const cluster_view& view = published.view;
    ordered_json value = {{"view", view.version},
                          {"ready", view.ready},
                          {"confirmed", view.confirmed},
                          {"leaving", view.leaving}};
    value["members"] = ordered_json::array();
    for (const auto& entry : view.members) {
      value["members"].push_back(describe(entry));
    }
    return {value, false};
  }
  formatted_action operator()(const publish_configuration& published) const {
    return {{{"configuration", published.generation},
             {"digest", published.digest.substr(0, 12)},
             {"bytes", published.bytes.size()}},
            false};
  }
  formatted_action operator()(const log_line& line) const {
    return {{{"log", line.part}, {"text", line.text}}, false};
  }
  formatted_action operator()(const ready_to_exit&) const {
    return {{{"ready_to_exit", true}}, false};
  }
};

} // namespace

node_settings read_settings(const json& line) {
  node_settings settings;
  read_optional(line, "name", settings.name);
  read_optional(line, "data_centre", settings.data_centre);
  read_optional(line, "gossip", settings.gossip_address);
  read_optional(line, "call", settings.call_address);
  read_optional(line, "seeds", settings.seeds);
  read_optional(line, "serve_without_configuration", settings.serve_without_configuration);
  return settings;
}

std::optional<event> read_event(const std::string& name, const json& line) {
  if (name == "start") {
    return node_started{};
  }
  if (name == "timer") {
    return timer_fired{};
  }
  if (name == "datagram") {
    return read_datagram(line);
  }
  if (name == "answer") {
    return read_answer(line);
  }
  if (name == "announce") {
    backend_announced input;
    read_optional(line, "service", input.service);
    read_optional(line, "slots", input.slots);
    read_optional(line, "connections", input.connections);
    read_optional(line, "address", input.address);
    return input;
  }
  if (name == "report") {
    backend_reported input;
    read_optional(line, "slots", input.slots);
    read_optional(line, "connections", input.connections);
    read_optional(line, "draining", input.draining);
    return input;
  }
  if (name == "backend_left") {
    return backend_left{};
  }
  if (name == "call_finished") {
    call_finished input;
    read_optional(line, "call", input.call_address);
    read_optional(line, "answered", input.answered);
    return input;
  }
  if (name == "shutdown") {
    return shutdown_requested{};
  }
  if (name == "in_flight") {
    in_flight_reported input;
    read_optional(line, "calls", input.calls);
    return input;
  }
  if (name == "services") {
    services_configured input;
    for (const auto& [service, calls] : line.at("calls").items()) {
      input.services.push_back({service, calls.get<std::vector<std::string>>()});
    }
    return input;
  }
  return std::nullopt;
}

formatted_action format_action(const action& next) {
  return std::visit(action_formatter{}, next);
}

} // namespace acaciasill::replay

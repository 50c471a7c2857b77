#include "acaciasill/daemon/admin_pages.h"

#include <string_view>
#include <utility>

#include <asio/post.hpp>
#include <nlohmann/json.hpp>
#include <prometheus/text_serializer.h>

#include "entry_answer.h"

#include "acaciasill/board/call_board.h"
#include "acaciasill/daemon/call_metrics.h"
#include "acaciasill/daemon/process_metrics.h"
#include "acaciasill/daemon/request_thread.h"
#include "acaciasill/net/call_headers.h"

namespace acaciasill::daemon {
namespace {

using support::make_error;
using support::result_code;

constexpr std::string_view explain_prefix = "/acaciasill/explain/";
constexpr std::string_view key_prefix = "/acaciasill/keys/";

net::http_response text_page(std::uint16_t status, std::string body) {
  return {status, {{"content-type", "text/plain; charset=utf-8"}}, std::move(body)};
}

net::http_response json_page(const nlohmann::json& json) {
  return {200,
          {{"content-type", "application/json"}},
          json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"};
}

net::http_response readiness(board::call_board& board) {
  const board::rcu_read_guard guard;
  if (board.leaving.load(std::memory_order_acquire)) {
    return text_page(503, "leaving\n");
  }
  if (!board.configuration.read(guard).ready) {
    return text_page(503, "no configuration\n");
  }
  return text_page(200, "ready\n");
}

net::http_response metrics_page(const admin_environment& environment) {
  const prometheus::TextSerializer serializer;
  auto families = environment.metrics->Collect();
  for (auto& family : collect_process_metrics(*environment.board, *environment.gossip)) {
    families.push_back(std::move(family));
  }
  return {200,
          {{"content-type", "text/plain; version=0.0.4; charset=utf-8"}},
          serializer.Serialize(families)};
}

nlohmann::json member_json(const control::view_member& member) {
  return {{"name", member.name},
          {"data_centre", member.data_centre},
          {"service", member.service},
          {"call_address", member.call_address},
          {"incarnation", member.incarnation},
          {"slots", member.slots},
          {"state", member.draining  ? "draining"
                    : member.suspect ? "suspect"
                                     : "alive"}};
}

nlohmann::json gate_json(board::call_board& board) {
  auto& gate = board.gate;
  return {{"limit", gate.limit.load()},
          {"in_flight", gate.in_flight.load()},
          {"waiting", gate.waiting.load()},
          {"service_time_us", gate.service_time_us.load()},
          {"draining", gate.draining.load()}};
}

nlohmann::json thresholds_json(board::call_board& board, const board::configuration_view& view) {
  auto list = nlohmann::json::array();
  for (std::uint32_t index = 0; index < view.organisation_slots.size(); ++index) {
    const auto& counters = board.gate.organisations[view.organisation_slots[index]];
    const auto threshold = counters.threshold.load();
    list.push_back({{"organisation", view.snapshot.organisation(index).name},
                    {"threshold", threshold},
                    {"open", threshold == decide::accept_all},
                    {"in_flight", counters.in_flight.load()}});
  }
  return list;
}

net::http_response status_page(const admin_environment& environment,
                               const control::node_status& status,
                               const control::cluster_view& view) {
  nlohmann::json json = {{"name", environment.name},
                         {"data_centre", environment.data_centre},
                         {"version", ACS_VERSION},
                         {"ready", status.ready},
                         {"leaving", status.leaving},
                         {"confirmed", view.confirmed},
                         {"polls_head", status.polls_head},
                         {"bridged_data_centres", status.bridged_data_centres},
                         {"local_members", status.local_members},
                         {"remote_members", status.remote_members},
                         {"suspect_members", status.suspect_members},
                         {"dead_members", status.dead_members},
                         {"record_bytes", status.record_bytes},
                         {"calls_in_flight", environment.board->calls_in_flight.load()}};
  auto members = nlohmann::json::array();
  for (const auto& member : view.members) {
    members.push_back(member_json(member));
  }
  json["members"] = std::move(members);
  const board::rcu_read_guard guard;
  const auto& configuration = environment.board->configuration.read(guard);
  const auto& backend = environment.board->backend.read(guard);
  json["generation"] = configuration.snapshot.generation();
  json["digest"] = configuration.digest;
  json["backend"] = {
      {"present", backend.present}, {"service", backend.service}, {"slots", backend.slots}};
  json["limits"] = gate_json(*environment.board);
  json["thresholds"] = thresholds_json(*environment.board, configuration);
  return json_page(json);
}

void serve_status(const admin_environment& environment, request_thread& home,
                  net::http_responder respond) {
  environment.query_status(
      [&environment, &home, respond = std::move(respond)](const control::node_status& status,
                                                          const control::cluster_view& view) {
        asio::post(home.context, [&environment, respond, status, view] {
          respond(status_page(environment, status, view));
        });
      });
}

net::http_response explain_page(const admin_environment& environment, std::string_view text) {
  const auto id = net::parse_request_id(text);
  if (!id) {
    return make_error_answer(make_error(result_code::bad_request, "invalid request id"));
  }
  std::vector<trace_record> records;
  for (const auto* thread : environment.threads) {
    for (auto& record : thread->traces.find(*id)) {
      records.push_back(std::move(record));
    }
  }
  return {200, {{"content-type", "application/json"}}, format_trace(records) + "\n"};
}

void serve_key(const admin_environment& environment, request_thread& home, std::string_view path,
               net::http_responder respond) {
  const auto slash = path.find('/');
  if (slash == std::string_view::npos || slash + 1 == path.size()) {
    respond(make_error_answer(
        make_error(result_code::bad_request, "expected /acaciasill/keys/ORGANISATION/KEY")));
    return;
  }
  environment.query_key(std::string(path.substr(0, slash)), std::string(path.substr(slash + 1)),
                        [&home, respond = std::move(respond)](const std::string& json) {
                          asio::post(home.context, [respond, json] {
                            respond({200, {{"content-type", "application/json"}}, json + "\n"});
                          });
                        });
}

net::http_response handle_announcement(const admin_environment& environment,
                                       const net::http_request& request) {
  const auto announcement = parse_announcement(request.body);
  if (!announcement.ok()) {
    return make_error_answer(announcement.status());
  }
  environment.announce(*announcement);
  return text_page(200, "ok\n");
}

} // namespace

void serve_admin_page(const admin_environment& environment, request_thread& home,
                      const net::http_request& request, net::http_responder respond) {
  const std::string_view target = request.target;
  if (target == "/healthz") {
    respond(text_page(200, "ok\n"));
    return;
  }
  if (target == "/readyz") {
    respond(readiness(*environment.board));
    return;
  }
  if (target == "/metrics") {
    respond(metrics_page(environment));
    return;
  }
  if (target == "/acaciasill/status") {
    serve_status(environment, home, std::move(respond));
    return;
  }
  if (target.substr(0, explain_prefix.size()) == explain_prefix) {
    respond(explain_page(environment, target.substr(explain_prefix.size())));
    return;
  }
  if (target.substr(0, key_prefix.size()) == key_prefix) {
    serve_key(environment, home, target.substr(key_prefix.size()), std::move(respond));
    return;
  }
  if (request.method == "POST" && target == "/acaciasill/announce") {
    respond(handle_announcement(environment, request));
    return;
  }
  if (request.method == "POST" && target == "/acaciasill/leave") {
    environment.leave();
    respond(text_page(200, "ok\n"));
    return;
  }
  respond(make_error_answer(make_error(result_code::no_route, target)));
}

} // namespace acaciasill::daemon

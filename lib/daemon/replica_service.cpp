#include "replica_service.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include "acaciasill/support/log.h"
#include "acaciasill/wire/table_answer.h"

namespace acaciasill::daemon {
namespace {

using control::store_end;
using control::store_result;

constexpr std::string_view path_prefix = "/tables/";
// Time allowed for an answer beyond the wait for changes. Replicas are in the same data centre.
constexpr support::milliseconds answer_margin{500};
constexpr support::milliseconds connect_timeout{300};
constexpr support::milliseconds max_wait{10000};

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_unknown_table = 404;
constexpr std::uint16_t status_gone = 410;
constexpr std::uint16_t status_unavailable = 503;

// Returns a field of the query as a number; 0 if it is missing or malformed.
std::uint64_t read_number(std::string_view query, std::string_view name) {
  const std::string field = "&" + std::string(name) + "=";
  const auto position = ("&" + std::string(query)).find(field);
  std::uint64_t value = 0;
  if (position != std::string::npos) {
    const auto text = query.substr(position + field.size() - 1);
    std::from_chars(text.data(), text.data() + text.size(), value);
  }
  return value;
}

net::http_response make_response(const store_result& result) {
  std::uint16_t status = status_unavailable;
  if (result.end == store_end::done || result.end == store_end::history_gone) {
    status = result.end == store_end::done ? status_ok : status_gone;
  }
  return {
      status, {{"content-type", "application/msgpack"}}, wire::encode_table_answer(result), false};
}

store_end end_of_status(std::uint16_t status) {
  switch (status) {
  case status_ok:
    return store_end::done;
  case status_gone:
    return store_end::history_gone;
  case status_unavailable:
    return store_end::refused;
  default:
    return store_end::unknown;
  }
}

store_result parse_response(const net::client_response& response) {
  if (response.end != net::exchange_end::answered) {
    return {store_end::unknown, {}, 0};
  }
  auto decoded = wire::decode_table_answer(response.body);
  if (!decoded.ok()) {
    support::write_event(support::log_level::warning, "directory",
                         "malformed answer from a replica",
                         {{"status", std::to_string(response.status)},
                          {"reason", std::string(decoded.status().message())}});
    return {store_end::unknown, {}, 0};
  }
  decoded->end = end_of_status(response.status);
  return *std::move(decoded);
}

} // namespace

bool is_table_read(const net::http_request& request) {
  return request.target.starts_with(path_prefix);
}

void serve_table_read(const net::http_request& request, control::replicated_tables& tables,
                      const net::http_responder& respond) {
  const std::string_view target = request.target;
  const auto path_end = std::min(target.find('?'), target.size());
  const auto table = target.substr(path_prefix.size(), path_end - path_prefix.size());
  auto* replica = tables.find_replica(table);
  if (replica == nullptr) {
    respond({status_unknown_table, {}, "", false});
    return;
  }
  const auto answer = [respond](const store_result& result) { respond(make_response(result)); };
  if (path_end == target.size()) {
    replica->read_all(answer);
    return;
  }
  const auto query = target.substr(path_end + 1);
  const support::milliseconds wait(static_cast<support::milliseconds::rep>(std::min<std::uint64_t>(
      read_number(query, "wait_ms"), static_cast<std::uint64_t>(max_wait.count()))));
  replica->read_changes({read_number(query, "after"), read_number(query, "era")}, wait, answer);
}

void send_table_read(asio::io_context& context, net::http_client& client,
                     const control::directory_entry& replica, const control::table_read& read,
                     control::store_callback done) {
  const auto call_address = net::parse_peer_address(replica.call_address);
  if (!call_address.ok()) {
    asio::post(context, [done = std::move(done)] { done({store_end::failed_before, {}, 0}); });
    return;
  }
  net::client_request request;
  request.address = {call_address->address(), replica.replica_port};
  request.method = "GET";
  request.target = std::string(path_prefix) + read.table;
  if (read.after) {
    request.target += "?after=" + std::to_string(read.after->version) +
                      "&era=" + std::to_string(read.after->era) +
                      "&wait_ms=" + std::to_string(read.wait.count());
  }
  request.timeout = read.wait + answer_margin;
  request.connect_timeout = connect_timeout;
  request.resend_on_closed_connection = true;
  client.send(std::move(request), [done = std::move(done)](const net::client_response& response) {
    done(parse_response(response));
  });
}

} // namespace acaciasill::daemon

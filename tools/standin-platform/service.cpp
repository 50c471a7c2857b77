#include "service.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "acaciasill/net/platform_protocol.h"

namespace acaciasill::standin {
namespace {

using control::table_row;
using net::http_request;
using net::http_response;

constexpr std::string_view rows_path = "/rows";
constexpr std::string_view row_prefix = "/rows/";
constexpr std::string_view object_prefix = "/objects/";
constexpr std::size_t default_list_limit = 1000;

http_response plain(std::uint16_t status, std::string_view text = {}) {
  return {status, {}, std::string(text)};
}

http_response with_version(std::uint64_t version, std::string body) {
  return {200, {{"ETag", net::encode_entity_tag(version)}}, std::move(body)};
}

std::string header_value(const http_request& request, std::string_view name) {
  for (const auto& field : request.headers) {
    if (absl::EqualsIgnoreCase(field.name, std::string(name))) {
      return field.value;
    }
  }
  return "";
}

// The version that a conditional write names, or nothing where its condition is not valid.
std::optional<std::uint64_t> condition_of(const http_request& request) {
  if (header_value(request, "if-none-match") == "*") {
    return control::absent_version;
  }
  return net::decode_entity_tag(header_value(request, "if-match"));
}

// Changes an answer so that it no longer says what is true.
http_response make_wrong(http_response response) {
  if (response.status == 412 || response.status == 404) {
    return plain(200, "wrong");
  }
  for (auto& field : response.headers) {
    field.value = "wrong";
  }
  if (response.body.empty()) {
    return plain(500);
  }
  response.body[response.body.size() / 2] ^= 1;
  return response;
}

} // namespace

service_result platform_service::handle(const http_request& request, support::time_point now) {
  const auto question = request.target.find('?');
  const std::string path = request.target.substr(0, question);
  const std::string query =
      question == std::string::npos ? "" : request.target.substr(question + 1);
  if (path == "/fault") {
    return {handle_fault(query, now)};
  }
  if (path == "/counts") {
    return {handle_counts()};
  }
  const bool is_write = request.method != "GET";
  ++(is_write ? counts_.writes : counts_.reads);
  const auto met = faults_.meet(is_write, now);
  if (met != request_faults{}) {
    ++counts_.faulty;
  }
  if (met.hang) {
    return {{}, false, {}};
  }
  if (met.outage) {
    return {plain(503, "outage"), true, met.delay};
  }
  auto response = handle_rows(request, path, query);
  if (met.wrong) {
    response = make_wrong(std::move(response));
  }
  return {std::move(response), !met.lost, met.delay};
}

http_response platform_service::handle_fault(const std::string& query, support::time_point now) {
  if (query_value(query, "kind") == "clear") {
    faults_.clear();
    return plain(200, "cleared\n");
  }
  const auto parsed = parse_fault(query, now);
  if (!parsed.ok()) {
    return plain(400, absl::StrCat(std::string(parsed.status().message()), "\n"));
  }
  faults_.add(*parsed);
  return plain(200, absl::StrCat(faults_.size(), " faults on\n"));
}

http_response platform_service::handle_counts() const {
  const nlohmann::json counts = {
      {"reads", counts_.reads}, {"writes", counts_.writes}, {"faulty", counts_.faulty}};
  return plain(200, counts.dump());
}

http_response platform_service::handle_rows(const http_request& request, const std::string& path,
                                            const std::string& query) {
  if (path == rows_path && request.method == "GET") {
    std::size_t limit = default_list_limit;
    if (const auto text = query_value(query, "limit"); text && !absl::SimpleAtoi(*text, &limit)) {
      return plain(400, "limit");
    }
    const auto prefix = query_value(query, "prefix").value_or("");
    return plain(200, net::encode_rows(store_.list(prefix, limit)));
  }
  if (path == "/transaction" && request.method == "POST") {
    return handle_transaction(request);
  }
  if (path.starts_with(row_prefix)) {
    const auto key = net::percent_decode(path.substr(row_prefix.size()));
    return key && net::is_row_key(*key) ? handle_row(request, *key) : plain(400, "key");
  }
  if (path.starts_with(object_prefix)) {
    return handle_object(request, path.substr(object_prefix.size()));
  }
  return plain(404, "no such path");
}

http_response platform_service::handle_row(const http_request& request, const std::string& key) {
  if (request.method == "GET") {
    const auto row = store_.read(key);
    return row ? with_version(row->version, row->value) : plain(404);
  }
  if (request.method != "PUT") {
    return plain(405);
  }
  const auto condition = condition_of(request);
  if (!condition || !net::is_utf8(request.body)) {
    return plain(400, "condition or value");
  }
  const auto written = store_.write({{key, request.body, *condition}});
  return written ? with_version(written->front().version, "") : plain(412);
}

http_response platform_service::handle_transaction(const http_request& request) {
  const auto rows = net::decode_rows(request.body);
  if (!rows.ok()) {
    return plain(400, "rows");
  }
  std::vector<std::string> keys;
  for (const auto& row : *rows) {
    keys.push_back(row.key);
  }
  std::sort(keys.begin(), keys.end());
  const bool is_doubled = std::adjacent_find(keys.begin(), keys.end()) != keys.end();
  if (is_doubled || !std::all_of(keys.begin(), keys.end(), net::is_row_key)) {
    return plain(400, "keys");
  }
  const auto written = store_.write(*rows);
  return written ? plain(200, net::encode_rows(*written)) : plain(412);
}

http_response platform_service::handle_object(const http_request& request,
                                              const std::string& digest) {
  if (request.method == "GET") {
    const auto bytes = store_.read_object(digest);
    return bytes ? plain(200, *bytes) : plain(404);
  }
  if (request.method != "PUT") {
    return plain(405);
  }
  return store_.write_object(digest, request.body) ? plain(200, "stored") : plain(400, "digest");
}

} // namespace acaciasill::standin

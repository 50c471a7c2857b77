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

http_response make_response(std::uint16_t status, std::string_view text = {}) {
  return {status, {}, std::string(text)};
}

http_response make_versioned_response(std::uint64_t version, std::string body) {
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

// Returns the version that a conditional write expects; nullopt if its condition is invalid.
std::optional<std::uint64_t> parse_condition(const http_request& request) {
  if (header_value(request, "if-none-match") == "*") {
    return control::absent_version;
  }
  return net::decode_entity_tag(header_value(request, "if-match"));
}

// Corrupts a response: 404 and 412 become 200; otherwise header values are replaced and a bit of
// the body is flipped. A response without a body becomes 500.
http_response corrupt_response(http_response response) {
  if (response.status == 412 || response.status == 404) {
    return make_response(200, "wrong");
  }
  for (auto& field : response.headers) {
    field.value = "wrong";
  }
  if (response.body.empty()) {
    return make_response(500);
  }
  response.body[response.body.size() / 2] ^= 1;
  return response;
}

} // namespace

service_result platform_service::handle(const http_request& request, support::time_point now) {
  const auto query_start = request.target.find('?');
  const std::string path = request.target.substr(0, query_start);
  const std::string query =
      query_start == std::string::npos ? "" : request.target.substr(query_start + 1);
  if (path == "/fault") {
    return {handle_fault(query, now)};
  }
  if (path == "/counts") {
    return {handle_counts()};
  }
  const bool is_write = request.method != "GET";
  ++(is_write ? counts_.writes : counts_.reads);
  const auto matched = faults_.match_request(is_write, now);
  if (matched != request_faults{}) {
    ++counts_.faulty;
  }
  if (matched.hang) {
    return {{}, false, {}};
  }
  if (matched.outage) {
    return {make_response(503, "outage"), true, matched.delay};
  }
  auto response = handle_rows(request, path, query);
  if (matched.wrong) {
    response = corrupt_response(std::move(response));
  }
  return {std::move(response), !matched.lost, matched.delay};
}

http_response platform_service::handle_fault(const std::string& query, support::time_point now) {
  if (query_value(query, "kind") == "clear") {
    faults_.clear();
    return make_response(200, "cleared\n");
  }
  const auto parsed = parse_fault(query, now);
  if (!parsed.ok()) {
    return make_response(400, absl::StrCat(std::string(parsed.status().message()), "\n"));
  }
  faults_.add(*parsed);
  return make_response(200, absl::StrCat(faults_.size(), " faults active\n"));
}

http_response platform_service::handle_counts() const {
  const nlohmann::json counts = {
      {"reads", counts_.reads}, {"writes", counts_.writes}, {"faulty", counts_.faulty}};
  return make_response(200, counts.dump());
}

http_response platform_service::handle_rows(const http_request& request, const std::string& path,
                                            const std::string& query) {
  if (path == rows_path && request.method == "GET") {
    std::size_t limit = default_list_limit;
    if (const auto text = query_value(query, "limit"); text && !absl::SimpleAtoi(*text, &limit)) {
      return make_response(400, "limit is not a whole number");
    }
    const auto prefix = query_value(query, "prefix").value_or("");
    return make_response(200, net::encode_rows(store_.list(prefix, limit)));
  }
  if (path == "/transaction" && request.method == "POST") {
    return handle_transaction(request);
  }
  if (path.starts_with(row_prefix)) {
    const auto key = net::percent_decode(path.substr(row_prefix.size()));
    return key && net::is_row_key(*key) ? handle_row(request, *key)
                                        : make_response(400, "invalid row key");
  }
  if (path.starts_with(object_prefix)) {
    return handle_object(request, path.substr(object_prefix.size()));
  }
  return make_response(404, "no such path");
}

http_response platform_service::handle_row(const http_request& request, const std::string& key) {
  if (request.method == "GET") {
    const auto row = store_.read(key);
    return row ? make_versioned_response(row->version, row->value) : make_response(404);
  }
  if (request.method != "PUT") {
    return make_response(405);
  }
  const auto condition = parse_condition(request);
  if (!condition || !net::is_utf8(request.body)) {
    return make_response(400, "invalid condition, or value is not UTF-8");
  }
  const auto written = store_.write({{key, request.body, *condition}});
  return written ? make_versioned_response(written->front().version, "") : make_response(412);
}

http_response platform_service::handle_transaction(const http_request& request) {
  const auto rows = net::decode_rows(request.body);
  if (!rows.ok()) {
    return make_response(400, "body is not a list of rows");
  }
  std::vector<std::string> keys;
  for (const auto& row : *rows) {
    keys.push_back(row.key);
  }
  std::sort(keys.begin(), keys.end());
  const bool has_duplicate_key = std::adjacent_find(keys.begin(), keys.end()) != keys.end();
  if (has_duplicate_key || !std::all_of(keys.begin(), keys.end(), net::is_row_key)) {
    return make_response(400, "invalid or duplicate row key");
  }
  const auto written = store_.write(*rows);
  return written ? make_response(200, net::encode_rows(*written)) : make_response(412);
}

http_response platform_service::handle_object(const http_request& request,
                                              const std::string& digest) {
  if (request.method == "GET") {
    const auto bytes = store_.read_object(digest);
    return bytes ? make_response(200, *bytes) : make_response(404);
  }
  if (request.method != "PUT") {
    return make_response(405);
  }
  return store_.write_object(digest, request.body)
             ? make_response(200, "stored")
             : make_response(400, "body does not match the digest");
}

} // namespace acaciasill::standin

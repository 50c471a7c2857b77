#include "acaciasill/net/platform_protocol.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "acaciasill/control/configuration_head.h"
#include "acaciasill/support/hash.h"
#include "acaciasill/support/result_code.h"

namespace acaciasill::net {
namespace {

using control::platform_answer;
using control::platform_end;
using control::table_row;
using support::result_code;

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_not_found = 404;
constexpr int status_precondition_failed = 412;

bool is_success(int status) {
  return status == status_ok || status == status_created;
}

// Whether the status means that the request had no effect.
bool is_rejection(int status) {
  return status >= 400 && status < 500;
}

std::string find_header_value(const http_response& response, std::string_view name) {
  for (const auto& field : response.headers) {
    if (absl::EqualsIgnoreCase(field.name, std::string(name))) {
      return field.value;
    }
  }
  return "";
}

absl::Status bad_request(std::string_view detail) {
  return support::make_error(result_code::bad_request, detail);
}

// ---- Requests ----

absl::StatusOr<platform_exchange> encode(const control::read_row& operation) {
  if (!is_row_key(operation.key)) {
    return bad_request("invalid row key");
  }
  return platform_exchange{"GET", absl::StrCat("/rows/", percent_encode(operation.key)), {}, ""};
}

absl::StatusOr<platform_exchange> encode(const control::list_rows& operation) {
  return platform_exchange{
      "GET",
      absl::StrCat("/rows?prefix=", percent_encode(operation.prefix), "&limit=", operation.limit),
      {},
      ""};
}

absl::StatusOr<platform_exchange> encode(const control::write_rows& operation) {
  if (operation.rows.empty()) {
    return bad_request("write contains no rows");
  }
  for (const auto& row : operation.rows) {
    if (!is_row_key(row.key) || !is_utf8(row.value)) {
      return bad_request("invalid row key or value");
    }
  }
  if (operation.rows.size() > 1) {
    return platform_exchange{"POST", "/transaction", {}, encode_rows(operation.rows)};
  }
  const auto& row = operation.rows.front();
  const wire::header_field condition =
      row.version == control::absent_version
          ? wire::header_field{"If-None-Match", "*"}
          : wire::header_field{"If-Match", encode_entity_tag(row.version)};
  return platform_exchange{
      "PUT", absl::StrCat("/rows/", percent_encode(row.key)), {condition}, row.value};
}

absl::StatusOr<platform_exchange> encode(const control::read_object& operation) {
  if (!control::is_digest(operation.digest)) {
    return bad_request("invalid object digest");
  }
  return platform_exchange{"GET", absl::StrCat("/objects/", operation.digest), {}, ""};
}

absl::StatusOr<platform_exchange> encode(const control::write_object& operation) {
  if (!control::is_digest(operation.digest)) {
    return bad_request("invalid object digest");
  }
  return platform_exchange{"PUT", absl::StrCat("/objects/", operation.digest), {}, operation.bytes};
}

// ---- Responses ----

void decode(const control::read_row& operation, const http_response& response,
            platform_answer& answer) {
  if (response.status == status_not_found) {
    answer.end = platform_end::done;
    return;
  }
  const auto version = decode_entity_tag(find_header_value(response, "etag"));
  if (response.status != status_ok || !version) {
    return;
  }
  answer.end = platform_end::done;
  answer.rows.push_back({operation.key, response.body, *version});
}

void decode(const control::list_rows& operation, const http_response& response,
            platform_answer& answer) {
  auto rows = decode_rows(response.body);
  if (response.status != status_ok || !rows.ok() || rows->size() > operation.limit) {
    return;
  }
  const auto is_invalid = [&](const table_row& row) {
    return row.version == control::absent_version || !row.key.starts_with(operation.prefix);
  };
  const auto not_ascending = [](const table_row& left, const table_row& right) {
    return left.key >= right.key;
  };
  if (std::any_of(rows->begin(), rows->end(), is_invalid) ||
      std::adjacent_find(rows->begin(), rows->end(), not_ascending) != rows->end()) {
    return;
  }
  answer.end = platform_end::done;
  answer.rows = *std::move(rows);
}

// Whether the response confirms that each row version increased by one.
bool confirms_write(const control::write_rows& operation, const http_response& response) {
  if (operation.rows.size() == 1) {
    return decode_entity_tag(find_header_value(response, "etag")) == operation.rows[0].version + 1;
  }
  const auto written = decode_rows(response.body);
  if (!written.ok() || written->size() != operation.rows.size()) {
    return false;
  }
  return std::equal(written->begin(), written->end(), operation.rows.begin(),
                    [](const table_row& after, const table_row& before) {
                      return after.key == before.key && after.version == before.version + 1;
                    });
}

void decode(const control::write_rows& operation, const http_response& response,
            platform_answer& answer) {
  if (response.status == status_precondition_failed) {
    answer.end = platform_end::refused;
    return;
  }
  if (is_rejection(response.status)) {
    answer.end = platform_end::failed_before;
    return;
  }
  if (!is_success(response.status) || !confirms_write(operation, response)) {
    return;
  }
  answer.end = platform_end::done;
  for (const auto& row : operation.rows) {
    answer.rows.push_back({row.key, row.value, row.version + 1});
  }
}

void decode(const control::read_object& operation, const http_response& response,
            platform_answer& answer) {
  if (response.status == status_not_found) {
    answer.end = platform_end::refused;
    return;
  }
  if (response.status != status_ok || support::sha256_hex(response.body) != operation.digest) {
    return;
  }
  answer.end = platform_end::done;
  answer.bytes = response.body;
}

void decode(const control::write_object& /*operation*/, const http_response& response,
            platform_answer& answer) {
  if (is_rejection(response.status)) {
    answer.end = platform_end::failed_before;
    return;
  }
  if (is_success(response.status)) {
    answer.end = platform_end::done;
  }
}

std::optional<table_row> decode_json_row(const nlohmann::json& item) {
  if (!item.is_object()) {
    return std::nullopt;
  }
  const auto key = item.find("key");
  const auto value = item.find("value");
  const auto version = item.find("version");
  if (key == item.end() || !key->is_string() || value == item.end() || !value->is_string() ||
      version == item.end() || !version->is_number_unsigned()) {
    return std::nullopt;
  }
  return table_row{key->get<std::string>(), value->get<std::string>(),
                   version->get<std::uint64_t>()};
}

int hex_value(char letter) {
  if (letter >= '0' && letter <= '9') {
    return letter - '0';
  }
  const char lower = absl::ascii_tolower(static_cast<unsigned char>(letter));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

} // namespace

absl::StatusOr<platform_exchange> encode_operation(const control::platform_operation& operation) {
  return std::visit([](const auto& each) { return encode(each); }, operation);
}

platform_answer decode_answer(std::uint64_t ticket, const control::platform_operation& operation,
                              const http_response& response) {
  platform_answer answer{ticket, end_after_lost_response(operation), {}, ""};
  std::visit([&](const auto& each) { decode(each, response, answer); }, operation);
  return answer;
}

bool is_idempotent(const control::platform_operation& operation) {
  return !std::holds_alternative<control::write_rows>(operation);
}

platform_end end_after_lost_response(const control::platform_operation& operation) {
  const bool writes = std::holds_alternative<control::write_rows>(operation) ||
                      std::holds_alternative<control::write_object>(operation);
  return writes ? platform_end::unknown : platform_end::failed_before;
}

std::string encode_rows(const std::vector<table_row>& rows) {
  auto list = nlohmann::json::array();
  for (const auto& row : rows) {
    list.push_back({{"key", row.key}, {"value", row.value}, {"version", row.version}});
  }
  const nlohmann::json document = {{"rows", std::move(list)}};
  return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<std::vector<table_row>> decode_rows(std::string_view text) {
  const auto document = nlohmann::json::parse(text, nullptr, false);
  if (!document.is_object() || !document.contains("rows") || !document["rows"].is_array()) {
    return support::make_error(result_code::platform_corrupt, "response has no array of rows");
  }
  std::vector<table_row> rows;
  for (const auto& item : document["rows"]) {
    auto row = decode_json_row(item);
    if (!row) {
      return support::make_error(result_code::platform_corrupt,
                                 "row has a missing or invalid key, value or version");
    }
    rows.push_back(*std::move(row));
  }
  return rows;
}

std::optional<std::uint64_t> decode_entity_tag(std::string_view tag) {
  if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
    return std::nullopt;
  }
  const std::string digits(tag.substr(1, tag.size() - 2));
  std::uint64_t version = 0;
  const bool is_number = std::all_of(digits.begin(), digits.end(), absl::ascii_isdigit);
  if (!is_number || !absl::SimpleAtoi(digits, &version) || version == control::absent_version) {
    return std::nullopt;
  }
  return version;
}

std::string encode_entity_tag(std::uint64_t version) {
  return absl::StrCat("\"", version, "\"");
}

std::string percent_encode(std::string_view text) {
  std::string result;
  for (const char letter : text) {
    const auto byte = static_cast<unsigned char>(letter);
    if (absl::ascii_isalnum(byte) || std::string_view("-._~/").find(letter) != std::string::npos) {
      result += letter;
    } else {
      result += absl::StrFormat("%%%02X", byte);
    }
  }
  return result;
}

std::optional<std::string> percent_decode(std::string_view text) {
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      result += text[i];
      continue;
    }
    const int high = i + 2 < text.size() ? hex_value(text[i + 1]) : -1;
    const int low = i + 2 < text.size() ? hex_value(text[i + 2]) : -1;
    if (high < 0 || low < 0) {
      return std::nullopt;
    }
    result += static_cast<char>(high * 16 + low);
    i += 2;
  }
  return result;
}

bool is_row_key(std::string_view key) {
  return !key.empty() && key.size() <= max_row_key_bytes &&
         std::all_of(key.begin(), key.end(),
                     [](char letter) { return letter > ' ' && letter < '\x7f'; });
}

bool is_utf8(std::string_view bytes) {
  // Serialising a JSON string throws if the string is not valid UTF-8.
  try {
    const auto ignored = nlohmann::json(std::string(bytes)).dump();
    return true;
  } catch (const nlohmann::json::exception&) {
    return false;
  }
}

} // namespace acaciasill::net

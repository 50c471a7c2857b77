#include "acaciasill/net/call_headers.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "absl/strings/ascii.h"
#include "absl/strings/str_format.h"

#include "acaciasill/support/result_code.h"
#include "acaciasill/wire/codec.h"

namespace acaciasill::net {
namespace {

using support::make_error;
using support::result_code;

constexpr std::string_view request_id_field = "x-request-id";
constexpr std::string_view organisation_field = "x-organisation";
constexpr std::string_view priority_field = "x-priority";
constexpr std::string_view deadline_field = "x-deadline-ms";
constexpr std::string_view retry_budget_field = "x-retry-budget";
constexpr std::string_view idempotency_key_field = "idempotency-key";
constexpr std::string_view context_field = "x-acaciasill-context";

constexpr std::array call_fields = {request_id_field, organisation_field, priority_field,
                                    deadline_field,   retry_budget_field, idempotency_key_field,
                                    context_field};

constexpr std::array<std::string_view, 11> connection_fields = {"connection",
                                                                "keep-alive",
                                                                "proxy-connection",
                                                                "proxy-authenticate",
                                                                "proxy-authorization",
                                                                "te",
                                                                "trailer",
                                                                "transfer-encoding",
                                                                "upgrade",
                                                                "host",
                                                                "content-length"};

// Number of hexadecimal digits of an id, without dashes.
constexpr std::size_t id_digits = 32;

// Positions of the dashes in the text form of a UUID.
constexpr std::array<std::size_t, 4> uuid_dashes = {8, 13, 18, 23};

absl::Status field_error(std::string_view name, std::string_view problem) {
  return make_error(result_code::bad_request, std::string(name) + " " + std::string(problem));
}

// Whether the text is non-empty printable ASCII without a leading or trailing space.
bool is_plain_text(std::string_view text) {
  const auto is_printable = [](char letter) { return letter >= ' ' && letter <= '~'; };
  return !text.empty() && text.front() != ' ' && text.back() != ' ' &&
         std::all_of(text.begin(), text.end(), is_printable);
}

absl::Status parse_text(std::string_view name, std::string_view value, std::size_t max_bytes,
                        std::string& text) {
  if (!text.empty()) {
    return field_error(name, "occurs more than once");
  }
  if (value.size() > max_bytes) {
    return field_error(name, "is too long");
  }
  if (!is_plain_text(value)) {
    return field_error(name, "must be non-empty printable ASCII without surrounding spaces");
  }
  text = value;
  return absl::OkStatus();
}

// Parses an unsigned decimal number; std::from_chars rejects values out of range.
std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

template <typename Number>
absl::Status parse_bounded_number(std::string_view name, std::string_view value, Number max,
                                  std::optional<Number>& target) {
  if (target) {
    return field_error(name, "occurs more than once");
  }
  const auto number = parse_number(value);
  std::uint64_t bound = 0;
  if constexpr (std::is_integral_v<Number>) {
    bound = max;
  } else {
    bound = static_cast<std::uint64_t>(max.count());
  }
  if (!number || *number > bound) {
    return field_error(name, "must be a non-negative integer within its limit");
  }
  target = Number(*number);
  return absl::OkStatus();
}

absl::Status parse_id_field(std::string_view value, std::optional<wire::request_id>& id) {
  if (id) {
    return field_error(request_id_field, "occurs more than once");
  }
  id = parse_request_id(value);
  if (!id) {
    return field_error(request_id_field, "must be 32 hexadecimal digits other than all zeros");
  }
  return absl::OkStatus();
}

absl::Status parse_field(const wire::header_field& field, call_headers& headers) {
  const auto& [name, value] = field;
  if (same_field_name(name, request_id_field)) {
    return parse_id_field(value, headers.id);
  }
  if (same_field_name(name, organisation_field)) {
    return parse_text(organisation_field, value, wire::max_name_bytes, headers.organisation);
  }
  if (same_field_name(name, priority_field)) {
    return parse_text(priority_field, value, wire::max_name_bytes, headers.priority);
  }
  if (same_field_name(name, deadline_field)) {
    return parse_bounded_number(deadline_field, value, max_deadline, headers.deadline);
  }
  if (same_field_name(name, retry_budget_field)) {
    return parse_bounded_number(retry_budget_field, value, max_retry_budget, headers.retry_budget);
  }
  if (same_field_name(name, idempotency_key_field)) {
    return parse_text(idempotency_key_field, value, wire::max_idempotency_key_bytes,
                      headers.idempotency_key);
  }
  if (same_field_name(name, context_field)) {
    return parse_text(context_field, value, max_context_bytes, headers.context);
  }
  return absl::OkStatus();
}

std::optional<std::uint64_t> parse_hexadecimal(std::string_view digits) {
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), number, 16);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return number;
}

} // namespace

absl::StatusOr<call_headers> parse_call_headers(const std::vector<wire::header_field>& fields) {
  if (fields.size() > wire::max_headers) {
    return make_error(result_code::bad_request, "too many header fields");
  }
  call_headers headers;
  for (const auto& field : fields) {
    if (auto status = parse_field(field, headers); !status.ok()) {
      return status;
    }
  }
  return headers;
}

std::vector<wire::header_field> format_call_headers(const call_headers& headers) {
  std::vector<wire::header_field> fields;
  const auto add = [&fields](std::string_view name, std::string value) {
    if (!value.empty()) {
      fields.push_back({std::string(name), std::move(value)});
    }
  };
  add(request_id_field, headers.id ? format_request_id(*headers.id) : "");
  add(organisation_field, headers.organisation);
  add(priority_field, headers.priority);
  add(deadline_field, headers.deadline ? std::to_string(headers.deadline->count()) : "");
  add(retry_budget_field, headers.retry_budget ? std::to_string(*headers.retry_budget) : "");
  add(idempotency_key_field, headers.idempotency_key);
  add(context_field, headers.context);
  return fields;
}

bool is_call_header(std::string_view name) {
  const auto matches = [name](std::string_view field) { return same_field_name(field, name); };
  return std::any_of(call_fields.begin(), call_fields.end(), matches);
}

bool is_connection_header(std::string_view name) {
  const auto matches = [name](std::string_view field) { return same_field_name(field, name); };
  return std::any_of(connection_fields.begin(), connection_fields.end(), matches);
}

bool same_field_name(std::string_view left, std::string_view right) {
  const auto same_letter = [](char first, char second) {
    return absl::ascii_tolower(static_cast<unsigned char>(first)) ==
           absl::ascii_tolower(static_cast<unsigned char>(second));
  };
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(), same_letter);
}

std::string format_request_id(const wire::request_id& id) {
  return absl::StrFormat("%016x%016x", id.high, id.low);
}

std::optional<wire::request_id> parse_request_id(std::string_view text) {
  std::string digits(text.substr(0, id_digits + uuid_dashes.size()));
  if (text.size() == id_digits + uuid_dashes.size()) {
    const auto is_dash = [text](std::size_t position) { return text[position] == '-'; };
    if (!std::all_of(uuid_dashes.begin(), uuid_dashes.end(), is_dash)) {
      return std::nullopt;
    }
    std::erase(digits, '-');
  }
  if (digits.size() != id_digits || text.size() > id_digits + uuid_dashes.size()) {
    return std::nullopt;
  }
  const std::string_view view = digits;
  const auto high = parse_hexadecimal(view.substr(0, id_digits / 2));
  const auto low = parse_hexadecimal(view.substr(id_digits / 2));
  if (!high || !low || (*high == 0 && *low == 0)) {
    return std::nullopt;
  }
  return wire::request_id{.high = *high, .low = *low};
}

} // namespace acaciasill::net

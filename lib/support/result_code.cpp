#include "acaciasill/support/result_code.h"

#include <algorithm>

#include "absl/strings/cord.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace acaciasill::support {
namespace {

constexpr std::string_view payload_url = "acaciasill/result-code";

absl::StatusCode canonical_code(std::uint16_t http_status) {
  switch (http_status) {
  case 400:
  case 413:
    return absl::StatusCode::kInvalidArgument;
  case 403:
    return absl::StatusCode::kPermissionDenied;
  case 404:
    return absl::StatusCode::kNotFound;
  case 409:
    return absl::StatusCode::kAborted;
  case 429:
    return absl::StatusCode::kResourceExhausted;
  case 503:
    return absl::StatusCode::kUnavailable;
  case 504:
    return absl::StatusCode::kDeadlineExceeded;
  default:
    return absl::StatusCode::kInternal;
  }
}

} // namespace

const std::vector<result_description>& all_result_codes() {
  static const std::vector<result_description> table = {
#define ACS_RESULT(name, number, http, text) {result_code::name, #name, http, text},
#include "acaciasill/support/result_codes.def"
  };
  return table;
}

const result_description& describe(result_code code) {
  const auto& table = all_result_codes();
  const auto has_code = [code](const result_description& row) { return row.code == code; };
  if (const auto row = std::find_if(table.begin(), table.end(), has_code); row != table.end()) {
    return *row;
  }
  return describe(result_code::internal_error);
}

std::string format_code(result_code code) {
  return absl::StrFormat("ACS-%04d", static_cast<int>(code));
}

std::optional<result_code> code_from_number(std::uint16_t number) {
  const auto code = static_cast<result_code>(number);
  if (describe(code).code != code) {
    return std::nullopt;
  }
  return code;
}

absl::Status make_error(result_code code, std::string_view detail) {
  const auto& row = describe(code);
  std::string message = absl::StrCat(format_code(code), " ", std::string(row.text));
  if (!detail.empty()) {
    absl::StrAppend(&message, ": ", std::string(detail));
  }
  absl::Status status(canonical_code(row.http_status), message);
  status.SetPayload(std::string(payload_url), absl::Cord(absl::StrCat(static_cast<int>(row.code))));
  return status;
}

result_code code_of(const absl::Status& status) {
  if (status.ok()) {
    return result_code::ok;
  }
  int number = 0;
  if (const auto payload = status.GetPayload(std::string(payload_url));
      payload && absl::SimpleAtoi(std::string(*payload), &number)) {
    return static_cast<result_code>(number);
  }
  return result_code::internal_error;
}

} // namespace acaciasill::support

#ifndef ACACIASILL_SUPPORT_RESULT_CODE_H
#define ACACIASILL_SUPPORT_RESULT_CODE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"

namespace acaciasill::support {

// Numbered result of an operation, printed as ACS-nnnn.
enum class result_code : std::uint16_t {
#define ACS_RESULT(name, number, http, text) name = (number),
#include "acaciasill/support/result_codes.def"
};

// An entry of the result code table.
struct result_description {
  result_code code{};
  std::string_view name;
  std::uint16_t http_status = 0;
  std::string_view text;

  bool operator==(const result_description&) const = default;
};

// Returns the result code table, ordered by number.
const std::vector<result_description>& all_result_codes();

// Returns the table entry for a code, or the entry for internal_error if the number is not in the
// table.
const result_description& describe(result_code code);

// Returns the printed form, for example "ACS-2011".
std::string format_code(result_code code);

// Returns the code with this number, or std::nullopt if the table has none.
std::optional<result_code> code_from_number(std::uint16_t number);

// Returns an error status with the code as a payload. The message is the printed code and its text
// from the table, followed by a colon and the detail if there is one.
absl::Status make_error(result_code code, std::string_view detail = {});

// Returns the code from a status made by make_error, ok for an OK status, and internal_error for
// any other status.
result_code code_of(const absl::Status& status);

} // namespace acaciasill::support

#endif

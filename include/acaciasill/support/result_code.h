#ifndef ACACIASILL_SUPPORT_RESULT_CODE_H
#define ACACIASILL_SUPPORT_RESULT_CODE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"

namespace acaciasill::support {

// The numbered result of an operation, shown to people as ACS-nnnn.
enum class result_code : std::uint16_t {
#define ACS_RESULT(name, number, http, text) name = (number),
#include "acaciasill/support/result_codes.def"
};

// What the table says of one result code.
struct result_description {
  result_code code{};
  std::string_view name;
  std::uint16_t http_status = 0;
  std::string_view text;

  bool operator==(const result_description&) const = default;
};

// All result codes in the order of their numbers.
const std::vector<result_description>& all_result_codes();

// The table's row for a code; the row of internal_error for a number that is not in the table.
const result_description& describe(result_code code);

// The printed form, for example "ACS-2011".
std::string format_code(result_code code);

// The code with this number, or nothing where the table has none.
std::optional<result_code> code_from_number(std::uint16_t number);

// An error status that carries the code; detail follows the table's text after a colon.
absl::Status make_error(result_code code, std::string_view detail = {});

// The code that make_error put into a status; ok for an ok status, internal_error for foreign ones.
result_code code_of(const absl::Status& status);

} // namespace acaciasill::support

#endif

#ifndef ACACIASILL_CONTROL_CLAIMS_ROW_H
#define ACACIASILL_CONTROL_CLAIMS_ROW_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Encoding of the rows that hold idempotency keys in the platform's table.
namespace acaciasill::control {

// Outcome of a call.
enum class run_outcome : std::uint8_t {
  completed,
  failed,
  unknown,
  not_run, // Certainly not executed; the key is free again.
};

// Value of a claim's row. While the outcome is absent, the call may be executing.
struct claim_row {
  // Identifier of the daemon process that claimed the key.
  std::string holder;
  // Unique for each claim of the holder, so that a claim recognises its own write.
  std::string token;
  std::optional<run_outcome> outcome;

  bool operator==(const claim_row&) const = default;
};

// Returns the row's key, "claims/<hash prefix>/<organisation>/<key>". Characters other than ASCII
// letters, digits, '-', '_' and '.' are percent-encoded. The prefix distributes the rows and allows
// them to be listed in parts.
std::string claim_row_key(std::string_view organisation, std::string_view key);

// Converts a row to and from its stored text. Parsing returns nullopt for any other text.
std::string format_claim_row(const claim_row& row);
std::optional<claim_row> parse_claim_row(std::string_view text);

// Returns the name of an outcome as it is stored in a row.
std::string_view outcome_name(run_outcome outcome);

} // namespace acaciasill::control

#endif

#ifndef ACACIASILL_CONTROL_CLAIMS_ROW_H
#define ACACIASILL_CONTROL_CLAIMS_ROW_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// The row that holds an idempotency key in the platform's table.
namespace acaciasill::control {

// How the run of a call ended.
enum class run_outcome : std::uint8_t {
  completed,
  failed,
  unknown,
  not_run, // The key is free again.
};

// The value of a key's row. Where the outcome is absent, the call may be running.
struct claim_row {
  // The life of the daemon that claimed the key.
  std::string holder;
  // Differs for each claim, so that a claim recognises its own write.
  std::string token;
  std::optional<run_outcome> outcome;

  bool operator==(const claim_row&) const = default;
};

// The row's key, "claims/<hash prefix>/<organisation>/<key>", with other letters than those of
// plain names escaped. The prefix spreads the rows and lets them be listed in parts.
std::string claim_row_key(std::string_view organisation, std::string_view key);

// The row's value, and back; nothing for a text that is not such a value.
std::string format_claim_row(const claim_row& row);
std::optional<claim_row> parse_claim_row(std::string_view text);

// The name of an outcome, as it appears in a row.
std::string_view outcome_name(run_outcome outcome);

} // namespace acaciasill::control

#endif

#include "acaciasill/control/claims_row.h"

#include <array>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"

#include "acaciasill/support/hash.h"

namespace acaciasill::control {
namespace {

constexpr std::string_view row_format = "claim-1";
constexpr std::string_view claimed_name = "claimed";
constexpr std::array outcomes = {run_outcome::completed, run_outcome::failed, run_outcome::unknown,
                                 run_outcome::not_run};

bool is_unreserved(char letter) {
  return absl::ascii_isalnum(static_cast<unsigned char>(letter)) || letter == '-' ||
         letter == '_' || letter == '.';
}

std::string escape(std::string_view text) {
  std::string escaped;
  for (const char letter : text) {
    if (is_unreserved(letter)) {
      escaped.push_back(letter);
      continue;
    }
    absl::StrAppendFormat(&escaped, "%%%02x", static_cast<unsigned char>(letter));
  }
  return escaped;
}

} // namespace

std::string claim_row_key(std::string_view organisation, std::string_view key) {
  const std::string path = escape(organisation) + "/" + escape(key);
  const auto prefix = static_cast<unsigned>(support::hash64(path) >> 56U);
  return absl::StrFormat("claims/%02x/%s", prefix, path);
}

std::string format_claim_row(const claim_row& row) {
  const auto state = row.outcome ? outcome_name(*row.outcome) : claimed_name;
  std::string text(row_format);
  text.append(" ").append(state).append(" ").append(row.holder).append(" ").append(row.token);
  return text;
}

std::optional<claim_row> parse_claim_row(std::string_view text) {
  const std::vector<std::string> parts = absl::StrSplit(std::string(text), ' ');
  if (parts.size() != 4 || parts[0] != row_format || parts[2].empty() || parts[3].empty()) {
    return std::nullopt;
  }
  claim_row row{parts[2], parts[3], std::nullopt};
  if (parts[1] == claimed_name) {
    return row;
  }
  for (const auto outcome : outcomes) {
    if (parts[1] == outcome_name(outcome)) {
      row.outcome = outcome;
      return row;
    }
  }
  return std::nullopt;
}

std::string_view outcome_name(run_outcome outcome) {
  switch (outcome) {
  case run_outcome::completed:
    return "completed";
  case run_outcome::failed:
    return "failed";
  case run_outcome::not_run:
    return "not-run";
  case run_outcome::unknown:
    break;
  }
  return "unknown";
}

} // namespace acaciasill::control

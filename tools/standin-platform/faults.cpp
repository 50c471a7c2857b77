#include "faults.h"

#include <algorithm>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "acaciasill/net/platform_protocol.h"
#include "acaciasill/support/result_code.h"

namespace acaciasill::standin {
namespace {

constexpr std::uint64_t max_seconds = 86400;

absl::Status invalid_fault(std::string_view detail) {
  return support::make_error(support::result_code::bad_request, detail);
}

std::optional<fault_kind> parse_kind(std::string_view text) {
  if (text == "outage") {
    return fault_kind::outage;
  }
  if (text == "hang") {
    return fault_kind::hang;
  }
  if (text == "slow") {
    return fault_kind::slow;
  }
  if (text == "lost") {
    return fault_kind::lost;
  }
  if (text == "wrong") {
    return fault_kind::wrong;
  }
  return std::nullopt;
}

std::optional<fault_scope> parse_scope(std::string_view text) {
  if (text == "all") {
    return fault_scope::all;
  }
  if (text == "reads") {
    return fault_scope::reads;
  }
  if (text == "writes") {
    return fault_scope::writes;
  }
  return std::nullopt;
}

// Reads a whole number; an absent key leaves the field unchanged. Errors: bad_request.
absl::Status read_number(const std::string& query, std::string_view key,
                         std::optional<std::uint64_t>& field) {
  const auto text = query_value(query, key);
  std::uint64_t parsed = 0;
  if (!text) {
    return absl::OkStatus();
  }
  if (!absl::SimpleAtoi(*text, &parsed)) {
    return invalid_fault(key);
  }
  field = parsed;
  return absl::OkStatus();
}

bool is_in_scope(const fault& candidate, bool is_write) {
  return candidate.scope == fault_scope::all ||
         (candidate.scope == fault_scope::writes) == is_write;
}

void add_effect(const fault& candidate, request_faults& matched) {
  switch (candidate.kind) {
  case fault_kind::outage:
    matched.outage = true;
    return;
  case fault_kind::hang:
    matched.hang = true;
    return;
  case fault_kind::slow:
    matched.delay = std::max(matched.delay, candidate.delay);
    return;
  case fault_kind::lost:
    matched.lost = true;
    return;
  case fault_kind::wrong:
    matched.wrong = true;
    return;
  }
}

} // namespace

request_faults fault_injector::match_request(bool is_write, support::time_point now) {
  request_faults matched;
  for (auto& candidate : faults_) {
    const bool expired = candidate.expires_at && now >= *candidate.expires_at;
    if (expired || candidate.remaining_count == 0 || !is_in_scope(candidate, is_write)) {
      continue;
    }
    if (candidate.skip_count > 0) {
      --candidate.skip_count;
      continue;
    }
    add_effect(candidate, matched);
    if (candidate.remaining_count) {
      --*candidate.remaining_count;
    }
  }
  std::erase_if(faults_, [now](const fault& candidate) {
    return candidate.remaining_count == 0 || (candidate.expires_at && now >= *candidate.expires_at);
  });
  return matched;
}

absl::StatusOr<fault> parse_fault(const std::string& query, support::time_point now) {
  fault result;
  const auto kind = parse_kind(query_value(query, "kind").value_or(""));
  const auto scope = parse_scope(query_value(query, "scope").value_or("all"));
  if (!kind || !scope) {
    return invalid_fault(
        "kind has to be outage, hang, slow, lost, wrong or clear, and scope all, reads or writes");
  }
  result.kind = *kind;
  result.scope = *scope;
  std::optional<std::uint64_t> duration_seconds;
  std::optional<std::uint64_t> delay_ms;
  std::optional<std::uint64_t> skip_count;
  for (const auto& status :
       {read_number(query, "count", result.remaining_count),
        read_number(query, "seconds", duration_seconds), read_number(query, "ms", delay_ms),
        read_number(query, "after", skip_count)}) {
    if (!status.ok()) {
      return status;
    }
  }
  result.skip_count = skip_count.value_or(0);
  if (duration_seconds) {
    result.expires_at = now + support::seconds(std::min(*duration_seconds, max_seconds));
  }
  result.delay = support::milliseconds(std::min(delay_ms.value_or(0), max_seconds * 1000));
  return result;
}

std::optional<std::string> query_value(const std::string& query, std::string_view key) {
  for (const auto& part : absl::StrSplit(query, '&')) {
    const std::string text(part);
    const auto equals = text.find('=');
    if (equals != std::string::npos && std::string_view(text).substr(0, equals) == key) {
      return net::percent_decode(std::string_view(text).substr(equals + 1));
    }
  }
  return std::nullopt;
}

} // namespace acaciasill::standin

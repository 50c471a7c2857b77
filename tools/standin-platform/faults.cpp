#include "faults.h"

#include <algorithm>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "acaciasill/net/platform_protocol.h"
#include "acaciasill/support/result_code.h"

namespace acaciasill::standin {
namespace {

constexpr std::uint64_t max_seconds = 86400;

absl::Status bad_fault(std::string_view detail) {
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

// Reads a whole number; an absent key is nothing and no error.
absl::Status read_number(const std::string& query, std::string_view key,
                         std::optional<std::uint64_t>& field) {
  const auto text = query_value(query, key);
  std::uint64_t parsed = 0;
  if (!text) {
    return absl::OkStatus();
  }
  if (!absl::SimpleAtoi(*text, &parsed)) {
    return bad_fault(key);
  }
  field = parsed;
  return absl::OkStatus();
}

bool meets(const fault& each, bool is_write) {
  return each.scope == fault_scope::all || (each.scope == fault_scope::writes) == is_write;
}

void apply(const fault& each, request_faults& met) {
  switch (each.kind) {
  case fault_kind::outage:
    met.outage = true;
    return;
  case fault_kind::hang:
    met.hang = true;
    return;
  case fault_kind::slow:
    met.delay = std::max(met.delay, each.delay);
    return;
  case fault_kind::lost:
    met.lost = true;
    return;
  case fault_kind::wrong:
    met.wrong = true;
    return;
  }
}

} // namespace

request_faults fault_switches::meet(bool is_write, support::time_point now) {
  request_faults met;
  for (auto& each : faults_) {
    const bool expired = each.until && now >= *each.until;
    if (expired || each.count == 0 || !meets(each, is_write)) {
      continue;
    }
    if (each.after > 0) {
      --each.after;
      continue;
    }
    apply(each, met);
    if (each.count) {
      --*each.count;
    }
  }
  std::erase_if(faults_, [now](const fault& each) {
    return each.count == 0 || (each.until && now >= *each.until);
  });
  return met;
}

absl::StatusOr<fault> parse_fault(const std::string& query, support::time_point now) {
  fault result;
  const auto kind = parse_kind(query_value(query, "kind").value_or(""));
  const auto scope = parse_scope(query_value(query, "scope").value_or("all"));
  if (!kind || !scope) {
    return bad_fault(
        "kind is outage, hang, slow, lost, wrong or clear; scope all, reads or writes");
  }
  result.kind = *kind;
  result.scope = *scope;
  std::optional<std::uint64_t> duration_seconds;
  std::optional<std::uint64_t> delay_ms;
  std::optional<std::uint64_t> after;
  for (const auto& status :
       {read_number(query, "count", result.count), read_number(query, "seconds", duration_seconds),
        read_number(query, "ms", delay_ms), read_number(query, "after", after)}) {
    if (!status.ok()) {
      return status;
    }
  }
  result.after = after.value_or(0);
  if (duration_seconds) {
    result.until = now + support::seconds(std::min(*duration_seconds, max_seconds));
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

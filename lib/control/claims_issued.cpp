#include "acaciasill/control/claims_issued.h"

#include <charconv>

#include "absl/strings/str_format.h"

namespace acaciasill::control {
namespace {

using support::result_code;
using support::time_point;

constexpr std::string_view key_format = "acs1";
constexpr char separator = '_';

std::optional<std::uint64_t> parse_hexadecimal(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, 16);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

// Removes and returns the text up to the next separator.
std::string_view split_off_part(std::string_view& text) {
  const auto end = text.find(separator);
  const auto part = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  return part;
}

void evict_expired(issued_keys& keys, time_point now) {
  while (!keys.issue_order.empty()) {
    const auto entry = keys.entries.find(keys.issue_order.front());
    const bool is_running = entry->second.has_started && !entry->second.outcome;
    if (entry->second.expires_at > now || is_running) {
      return;
    }
    keys.entries.erase(entry);
    keys.issue_order.pop_front();
  }
}

} // namespace

std::string format_issued_key(const issued_key& key) {
  return absl::StrFormat("%s_%s_%016x_%x", std::string(key_format), key.call_address,
                         key.start_nonce, key.number);
}

std::optional<issued_key> parse_issued_key(std::string_view text) {
  if (split_off_part(text) != key_format) {
    return std::nullopt;
  }
  issued_key key;
  key.call_address = split_off_part(text);
  const auto nonce = parse_hexadecimal(split_off_part(text));
  const auto number = parse_hexadecimal(split_off_part(text));
  if (key.call_address.empty() || !nonce || !number || *number == 0 || !text.empty()) {
    return std::nullopt;
  }
  key.start_nonce = *nonce;
  key.number = *number;
  return key;
}

std::optional<std::string> issue_key(issued_keys& keys, std::string_view organisation,
                                     time_point now) {
  evict_expired(keys, now);
  if (keys.entries.size() >= keys.settings.max_keys) {
    return std::nullopt;
  }
  const std::uint64_t number = ++keys.last_issued_number;
  keys.entries[number] = {std::string(organisation), now + keys.settings.lifetime, false, {}};
  keys.issue_order.push_back(number);
  return format_issued_key({keys.settings.call_address, keys.settings.start_nonce, number});
}

issued_key_result look_up_issued_key(const issued_keys& keys, const issued_key& key,
                                     std::string_view organisation, time_point now) {
  const bool is_own = key.call_address == keys.settings.call_address &&
                      key.start_nonce == keys.settings.start_nonce;
  if (!is_own) {
    return {result_code::outcome_unknown, std::nullopt};
  }
  if (key.number > keys.last_issued_number || key.number == 0) {
    return {result_code::bad_request, std::nullopt};
  }
  const auto place = keys.entries.find(key.number);
  if (place == keys.entries.end()) {
    return {result_code::outcome_unknown, std::nullopt};
  }
  const auto& entry = place->second;
  if (entry.organisation != organisation) {
    return {result_code::bad_request, std::nullopt};
  }
  if (entry.outcome && entry.outcome != run_outcome::not_run) {
    return {result_code::key_already_used, entry.outcome};
  }
  if (entry.has_started && !entry.outcome) {
    return {result_code::duplicate_in_progress, std::nullopt};
  }
  if (entry.expires_at <= now) {
    return {result_code::outcome_unknown, std::nullopt};
  }
  return {result_code::ok, std::nullopt};
}

issued_key_result start_issued_call(issued_keys& keys, const issued_key& key,
                                    std::string_view organisation, time_point now) {
  auto result = look_up_issued_key(keys, key, organisation, now);
  if (result.code == result_code::ok) {
    auto& entry = keys.entries.at(key.number);
    entry.has_started = true;
    entry.outcome.reset();
  }
  return result;
}

void record_issued_outcome(issued_keys& keys, const issued_key& key, run_outcome outcome) {
  if (key.start_nonce != keys.settings.start_nonce) {
    return;
  }
  const auto place = keys.entries.find(key.number);
  if (place != keys.entries.end() && place->second.has_started && !place->second.outcome) {
    place->second.outcome = outcome;
  }
}

} // namespace acaciasill::control

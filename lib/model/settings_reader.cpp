#include "acaciasill/model/settings_reader.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace acaciasill::model {

using support::result_code;

settings_reader::settings_reader(std::string file, const YAML::Node& node, std::string object)
    : file_(std::move(file)), object_(std::move(object)), line_(node.Mark().line + 1) {
  if (node.IsNull()) {
    return; // An empty document is a mapping without keys.
  }
  if (!node.IsMap()) {
    report("", line_, result_code::wrong_type, "a mapping is expected");
    return;
  }
  std::set<std::string> seen;
  for (const auto& pair : node) {
    const int line = pair.first.Mark().line + 1;
    if (!pair.first.IsScalar()) {
      report("", line, result_code::wrong_type, "a key must be a scalar");
      continue;
    }
    std::string key = pair.first.Scalar();
    if (!seen.insert(key).second) {
      report(key, line, result_code::duplicate_key, "");
      continue;
    }
    entries_.push_back({std::move(key), line, pair.second});
  }
}

void settings_reader::text(std::string_view key, std::string& field, presence needed) {
  if (auto value = consume_scalar(key, needed, "a string is expected")) {
    field = *std::move(value);
  }
}

void settings_reader::flag(std::string_view key, bool& field, presence needed) {
  const auto value = consume_scalar(key, needed, "true or false is expected");
  if (!value) {
    return;
  }
  if (*value != "true" && *value != "false") {
    return reject(key, result_code::wrong_type, "true or false is expected");
  }
  field = *value == "true";
}

void settings_reader::number(std::string_view key, double& field, double min, double max,
                             presence needed) {
  const auto value = consume_scalar(key, needed, "a number is expected");
  if (!value) {
    return;
  }
  double parsed = 0.0;
  if (!absl::SimpleAtod(*value, &parsed) || !std::isfinite(parsed)) {
    return reject(key, result_code::wrong_type, "a number is expected");
  }
  if (parsed < min || parsed > max) {
    return reject(key, result_code::out_of_range, absl::StrCat("from ", min, " to ", max));
  }
  field = parsed;
}

void settings_reader::time_span(std::string_view key, support::milliseconds& field,
                                support::milliseconds min, support::milliseconds max,
                                presence needed) {
  if (const auto value = read_integer(key, min.count(), max.count(), needed)) {
    field = support::milliseconds(*value);
  }
}

void settings_reader::text_list(std::string_view key, std::vector<std::string>& field,
                                presence needed) {
  const auto node = consume(key, needed);
  if (!node) {
    return;
  }
  if (!node->IsSequence()) {
    return reject(key, result_code::wrong_type, "a list of strings is expected");
  }
  std::vector<std::string> values;
  for (const auto& item : *node) {
    if (!item.IsScalar()) {
      return report(key, item.Mark().line + 1, result_code::wrong_type,
                    "a list of strings is expected");
    }
    values.push_back(item.Scalar());
  }
  field = std::move(values);
}

void settings_reader::section(std::string_view key,
                              const std::function<void(settings_reader&)>& read, presence needed) {
  const auto node = consume(key, needed);
  if (!node) {
    return;
  }
  settings_reader child(file_, *node, object_);
  read(child);
  const auto found = child.finish();
  findings_.insert(findings_.end(), found.begin(), found.end());
}

void settings_reader::sections(std::string_view key,
                               const std::function<void(settings_reader&)>& read, presence needed) {
  const auto node = consume(key, needed);
  if (!node) {
    return;
  }
  if (!node->IsSequence()) {
    return reject(key, result_code::wrong_type, "a list of mappings is expected");
  }
  for (const YAML::Node& item : *node) {
    settings_reader child(file_, item, object_);
    read(child);
    const auto found = child.finish();
    findings_.insert(findings_.end(), found.begin(), found.end());
  }
}

void settings_reader::reject(std::string_view key, result_code code, std::string text) {
  report(key, find_line(key), code, std::move(text));
}

int settings_reader::find_line(std::string_view key) const {
  const auto found = std::find_if(entries_.begin(), entries_.end(),
                                  [key](const entry& candidate) { return candidate.key == key; });
  return found == entries_.end() ? line_ : found->line;
}

std::vector<key_position> settings_reader::keys() const {
  std::vector<key_position> result;
  for (const auto& present : entries_) {
    result.push_back({present.key, present.line});
  }
  return result;
}

std::vector<finding> settings_reader::finish() {
  for (const auto& unread : entries_) {
    if (!unread.consumed) {
      report(unread.key, unread.line, result_code::unknown_key, "");
    }
  }
  std::stable_sort(
      findings_.begin(), findings_.end(),
      [](const finding& left, const finding& right) { return left.line < right.line; });
  return std::move(findings_);
}

std::optional<std::int64_t> settings_reader::read_integer(std::string_view key, std::int64_t min,
                                                          std::int64_t max, presence needed) {
  const auto value = consume_scalar(key, needed, "an integer is expected");
  if (!value) {
    return std::nullopt;
  }
  std::int64_t parsed = 0;
  if (!absl::SimpleAtoi(*value, &parsed)) {
    reject(key, result_code::wrong_type, "an integer is expected");
    return std::nullopt;
  }
  if (parsed < min || parsed > max) {
    reject(key, result_code::out_of_range, absl::StrCat("from ", min, " to ", max));
    return std::nullopt;
  }
  return parsed;
}

std::optional<YAML::Node> settings_reader::consume(std::string_view key, presence needed) {
  for (auto& candidate : entries_) {
    if (candidate.key == key) {
      candidate.consumed = true;
      return candidate.value;
    }
  }
  if (needed == presence::required) {
    report(key, line_, result_code::missing_key, "");
  }
  return std::nullopt;
}

std::optional<std::string> settings_reader::consume_scalar(std::string_view key, presence needed,
                                                           std::string_view expected) {
  const auto node = consume(key, needed);
  if (!node) {
    return std::nullopt;
  }
  if (!node->IsScalar()) {
    reject(key, result_code::wrong_type, std::string(expected));
    return std::nullopt;
  }
  return node->Scalar();
}

void settings_reader::report(std::string_view key, int line, result_code code, std::string text) {
  findings_.push_back({file_, line, object_, std::string(key), code, std::move(text)});
}

} // namespace acaciasill::model

#include "output.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "acaciasill/support/result_code.h"

namespace acaciasill::ctl {
namespace {

constexpr std::size_t column_gap = 2;

bool is_object_list(const json& value) {
  return value.is_array() && !value.empty() &&
         std::all_of(value.begin(), value.end(), [](const json& item) { return item.is_object(); });
}

std::string cell(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Converts a list of objects to a table. Columns are the keys in order of first appearance.
table to_table(const json& list) {
  std::vector<std::string> columns;
  for (const auto& item : list) {
    for (const auto& [key, value] : item.items()) {
      if (std::find(columns.begin(), columns.end(), key) == columns.end()) {
        columns.push_back(key);
      }
    }
  }
  table rows = {columns};
  for (const auto& item : list) {
    std::vector<std::string> row;
    row.reserve(columns.size());
    for (const auto& column : columns) {
      row.push_back(item.contains(column) ? cell(item.at(column)) : "-");
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

} // namespace

void print_table(std::ostream& out, const table& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()), 0);
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) {
        line.append(widths[i] - row[i].size() + column_gap, ' ');
      }
    }
    out << line << '\n';
  }
}

void print_document(std::ostream& out, const json& document) {
  if (is_object_list(document)) {
    return print_table(out, to_table(document));
  }
  if (!document.is_object()) {
    out << cell(document) << '\n';
    return;
  }
  table scalars;
  for (const auto& [key, value] : document.items()) {
    if (!is_object_list(value) && !value.is_object()) {
      scalars.push_back({key, cell(value)});
    }
  }
  print_table(out, scalars);
  for (const auto& [key, value] : document.items()) {
    if (is_object_list(value)) {
      out << '\n' << key << ":\n";
      print_table(out, to_table(value));
    }
    if (value.is_object()) {
      out << '\n' << key << ":\n";
      print_document(out, value);
    }
  }
}

json to_json(const model::finding& finding) {
  return {{"file", finding.file},
          {"line", finding.line},
          {"object", finding.object},
          {"key", finding.key},
          {"code", support::format_code(finding.code)},
          {"text", model::format_finding(finding)}};
}

json to_json(const model::object_change& change) {
  json fields = json::array();
  for (const auto& field : change.fields) {
    fields.push_back({{"key", field.key}, {"before", field.before}, {"after", field.after}});
  }
  const std::string change_kind = change.before ? (change.after ? "changed" : "removed") : "added";
  return {{"kind", std::string(model::kind_name(change.kind))},
          {"name", change.name},
          {"change", change_kind},
          {"fields", std::move(fields)}};
}

json to_json(const control::configuration_head& head) {
  return {{"generation", head.generation},
          {"digest", head.digest},
          {"revision", head.source_revision},
          {"token", head.publication_token},
          {"previous_digest", head.previous_digest}};
}

void print_json(std::ostream& out, const json& document) {
  out << document.dump(-1, ' ', false, json::error_handler_t::replace) << '\n';
}

} // namespace acaciasill::ctl

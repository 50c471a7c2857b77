#include "acaciasill/model/configuration_set.h"

#include <algorithm>
#include <filesystem>
#include <utility>

#include "absl/strings/str_cat.h"
#include "acaciasill/model/validation.h"

namespace acaciasill::model {
namespace {

using support::result_code;

// Reads an object from one document and appends it to the set's list of that kind. Skips an object
// that has no name or a duplicate one.
template <typename Object>
void load_object(object_kind kind, settings_reader& reader, const std::string& file,
                 std::vector<Object>& objects, std::vector<object_source>& sources) {
  Object object;
  visit_fields(reader, object);
  const auto same_name = [&](const Object& other) { return other.name == object.name; };
  if (object.name.empty()) {
    return; // The reader has reported the missing name.
  }
  if (std::any_of(objects.begin(), objects.end(), same_name)) {
    return reader.reject("name", result_code::duplicate_object, object.name);
  }
  sources.push_back({kind, object.name, file, reader.find_line("name"), reader.keys()});
  objects.push_back(std::move(object));
}

// Returns the kind and name of an object for findings that arise before its fields are read.
std::string object_label(const YAML::Node& node, std::string_view kind) {
  if (!node.IsMap()) {
    return std::string(kind);
  }
  for (const auto& pair : node) {
    if (pair.first.IsScalar() && pair.first.Scalar() == "name" && pair.second.IsScalar()) {
      return absl::StrCat(kind.empty() ? "object" : std::string(kind), " ", pair.second.Scalar());
    }
  }
  return std::string(kind);
}

std::string find_kind(const YAML::Node& node) {
  if (!node.IsMap()) {
    return "";
  }
  for (const auto& pair : node) {
    if (pair.first.IsScalar() && pair.first.Scalar() == "kind" && pair.second.IsScalar()) {
      return pair.second.Scalar();
    }
  }
  return "";
}

void load_document(const std::string& file, const YAML::Node& node, loaded_set& loaded,
                   std::vector<finding>& findings) {
  if (node.IsNull()) {
    return; // Empty document between two separators.
  }
  std::string kind = find_kind(node);
  settings_reader reader(file, node, object_label(node, kind));
  reader.text("kind", kind, presence::required);
  bool known = false;
  for_each_kind(loaded.set, [&](object_kind candidate, auto& objects) {
    if (kind == kind_name(candidate)) {
      known = true;
      load_object(candidate, reader, file, objects, loaded.sources);
    }
  });
  auto found = reader.finish();
  if (!known) {
    // Without a known kind no key can be interpreted, so report only the kind.
    std::erase_if(found,
                  [](const finding& problem) { return problem.code == result_code::unknown_key; });
    if (!kind.empty()) {
      found.push_back(
          {file, reader.find_line("kind"), "", "kind", result_code::unknown_kind, kind});
    }
  }
  findings.insert(findings.end(), found.begin(), found.end());
}

std::vector<std::string> yaml_files(const std::string& directory, std::vector<finding>& findings) {
  namespace fs = std::filesystem;
  std::vector<std::string> files;
  std::error_code error;
  for (fs::recursive_directory_iterator entry(directory, error), end; !error && entry != end;
       entry.increment(error)) {
    const auto extension = entry->path().extension();
    if (entry->is_regular_file(error) && (extension == ".yaml" || extension == ".yml")) {
      files.push_back(entry->path().string());
    }
  }
  if (error) {
    findings.push_back({directory, 0, "", "", result_code::file_not_readable, error.message()});
  }
  std::sort(files.begin(), files.end());
  return files;
}

void sort_unique(std::vector<std::string>& texts) {
  std::sort(texts.begin(), texts.end());
  texts.erase(std::unique(texts.begin(), texts.end()), texts.end());
}

} // namespace

void load_text(const std::string& file, const std::string& text, loaded_set& loaded,
               std::vector<finding>& findings) {
  for (const auto& document : parse_yaml(file, text, findings)) {
    load_document(file, document, loaded, findings);
  }
}

loaded_set load_directory(const std::string& directory, std::vector<finding>& findings) {
  loaded_set loaded;
  std::size_t total = 0;
  for (const auto& file : yaml_files(directory, findings)) {
    const auto text = read_bounded_file(file, findings);
    if (!text) {
      continue;
    }
    total += text->size();
    if (total > max_set_bytes) {
      findings.push_back({directory, 0, "", "", result_code::out_of_range,
                          absl::StrCat("the set is larger than ", max_set_bytes, " bytes")});
      return loaded;
    }
    load_text(file, *text, loaded, findings);
  }
  normalise(loaded.set);
  const auto set_findings = validate(loaded.set, loaded.sources, directory);
  findings.insert(findings.end(), set_findings.begin(), set_findings.end());
  std::stable_sort(findings.begin(), findings.end(), [](const finding& left, const finding& right) {
    return std::tie(left.file, left.line) < std::tie(right.file, right.line);
  });
  return loaded;
}

void normalise(configuration& set) {
  for (auto& each : set.services) {
    sort_unique(each.calls);
  }
  for (auto& each : set.routes) {
    sort_unique(each.methods);
  }
  for_each_kind(set, [](object_kind /*kind*/, auto& objects) {
    std::stable_sort(objects.begin(), objects.end(),
                     [](const auto& left, const auto& right) { return left.name < right.name; });
  });
}

} // namespace acaciasill::model

#include <algorithm>
#include <set>
#include <type_traits>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "acaciasill/model/configuration_set.h"
#include "acaciasill/model/key_index.h"

namespace acaciasill::model {
namespace {

using support::result_code;
using json = nlohmann::ordered_json;

// Format version of the canonical JSON. Increase it when a field is added or changed.
constexpr int set_format = 3;
constexpr std::string_view format_key = "format";

// Writes the fields of one object to JSON in the order of visit_fields.
class json_writer {
public:
  void text(const char* key, const std::string& field, presence /*needed*/ = {}) {
    object_[key] = field;
  }
  void flag(const char* key, bool field, presence /*needed*/ = {}) { object_[key] = field; }
  void number(const char* key, double field, double /*min*/, double /*max*/) {
    object_[key] = field;
  }
  void time_span(const char* key, support::milliseconds field, support::milliseconds /*min*/,
                 support::milliseconds /*max*/) {
    object_[key] = field.count();
  }
  void text_list(const char* key, const std::vector<std::string>& field) { object_[key] = field; }
  template <typename Integer>
  void integer(const char* key, Integer field, std::int64_t /*min*/, std::int64_t /*max*/,
               presence /*needed*/ = {}) {
    object_[key] = static_cast<std::int64_t>(field);
  }

  json take() { return std::move(object_); }

private:
  json object_ = json::object();
};

// Reads the fields of one object from JSON. All fields are required, and no other key is allowed.
class json_reader {
public:
  explicit json_reader(const json& object) : object_(object) {
    if (!object.is_object()) {
      fail(result_code::wrong_type, "an object is expected");
    }
  }

  void text(const char* key, std::string& field, presence /*needed*/ = {}) {
    if (const auto* value = consume(key, &json::is_string)) {
      field = value->get<std::string>();
    }
  }
  void flag(const char* key, bool& field, presence /*needed*/ = {}) {
    if (const auto* value = consume(key, &json::is_boolean)) {
      field = value->get<bool>();
    }
  }
  void number(const char* key, double& field, double min, double max) {
    const auto* value = consume(key, &json::is_number);
    if (value == nullptr) {
      return;
    }
    const auto parsed = value->get<double>();
    if (!(parsed >= min && parsed <= max)) {
      return fail(result_code::out_of_range, key);
    }
    field = parsed;
  }
  void time_span(const char* key, support::milliseconds& field, support::milliseconds min,
                 support::milliseconds max) {
    if (const auto value = read_integer(key, min.count(), max.count())) {
      field = support::milliseconds(*value);
    }
  }
  void text_list(const char* key, std::vector<std::string>& field) {
    const auto* value = consume(key, &json::is_array);
    if (value == nullptr) {
      return;
    }
    const auto is_text = [](const json& item) { return item.is_string(); };
    if (!std::all_of(value->begin(), value->end(), is_text)) {
      return fail(result_code::wrong_type, key);
    }
    field = value->get<std::vector<std::string>>();
  }
  template <typename Integer>
  void integer(const char* key, Integer& field, std::int64_t min, std::int64_t max,
               presence /*needed*/ = {}) {
    if (const auto value = read_integer(key, min, max)) {
      field = static_cast<Integer>(*value);
    }
  }

  // Returns the first error. An unknown key is reported only if there is no other error.
  absl::Status finish() {
    if (status_.ok() && consumed_ != object_.size()) {
      fail(result_code::unknown_key, "an object has a key that is not a field");
    }
    return status_;
  }

private:
  const json* consume(const char* key, bool (json::*has_type)() const noexcept) {
    if (!status_.ok()) {
      return nullptr;
    }
    const auto found = object_.find(key);
    if (found == object_.end()) {
      fail(result_code::missing_key, key);
      return nullptr;
    }
    ++consumed_;
    if (!((*found).*has_type)()) {
      fail(result_code::wrong_type, key);
      return nullptr;
    }
    return &*found;
  }

  std::optional<std::int64_t> read_integer(const char* key, std::int64_t min, std::int64_t max) {
    const auto* value = consume(key, &json::is_number_integer);
    if (value == nullptr) {
      return std::nullopt;
    }
    // An unsigned value above the signed range converts to a negative number.
    const auto parsed = value->get<std::int64_t>();
    const bool overflowed = value->is_number_unsigned() && parsed < 0;
    if (overflowed || parsed < min || parsed > max) {
      fail(result_code::out_of_range, key);
      return std::nullopt;
    }
    return parsed;
  }

  void fail(result_code code, std::string_view detail) {
    if (status_.ok()) {
      status_ = support::make_error(code, detail);
    }
  }

  const json& object_;
  std::size_t consumed_ = 0;
  absl::Status status_;
};

template <typename Object>
json write_object(Object object) {
  json_writer writer;
  visit_fields(writer, object);
  return writer.take();
}

template <typename Object>
absl::Status read_objects(const json& root, std::string_view kind, std::vector<Object>& objects) {
  const auto list = root.find(std::string(kind));
  if (list == root.end() || !list->is_array()) {
    return support::make_error(result_code::missing_key, kind);
  }
  for (const auto& item : *list) {
    json_reader reader(item);
    Object object;
    visit_fields(reader, object);
    if (auto status = reader.finish(); !status.ok()) {
      return status;
    }
    objects.push_back(std::move(object));
  }
  return absl::OkStatus();
}

// Finds an object by name in a list sorted by name.
template <typename Object>
const Object* find_by_name(const std::vector<Object>& objects, const std::string& name) {
  const auto found = std::lower_bound(
      objects.begin(), objects.end(), name,
      [](const Object& object, const std::string& wanted) { return object.name < wanted; });
  return found == objects.end() || found->name != name ? nullptr : &*found;
}

// Returns the value of a field for output.
std::string shown_value(const std::string& field, const json& value) {
  if (field != "keys") {
    return value.dump();
  }
  json masked = json::array();
  for (const auto& key : value) {
    masked.push_back(masked_key(key.get<std::string>()));
  }
  return masked.dump();
}

std::vector<field_change> changed_fields(const json& before, const json& after) {
  std::vector<field_change> changes;
  const json& keys = after.empty() ? before : after;
  for (const auto& [key, ignored] : keys.items()) {
    const bool has_old = before.contains(key);
    const bool has_new = after.contains(key);
    if (has_old != has_new || before.at(key) != after.at(key)) {
      changes.push_back({key, has_old ? shown_value(key, before.at(key)) : "",
                         has_new ? shown_value(key, after.at(key)) : ""});
    }
  }
  return changes;
}

template <typename Object>
void compare_objects(object_kind kind, const std::vector<Object>& before,
                     const std::vector<Object>& after, std::vector<object_change>& changes) {
  std::set<std::string> names;
  for (const auto* objects : {&before, &after}) {
    for (const auto& object : *objects) {
      names.insert(object.name);
    }
  }
  for (const auto& name : names) {
    const auto* old_object = find_by_name(before, name);
    const auto* new_object = find_by_name(after, name);
    auto fields = changed_fields(old_object ? write_object(*old_object) : json::object(),
                                 new_object ? write_object(*new_object) : json::object());
    if (!fields.empty()) {
      changes.push_back(
          {kind, name, old_object != nullptr, new_object != nullptr, std::move(fields)});
    }
  }
}

} // namespace

std::string serialise(const configuration& set) {
  configuration ordered = set;
  normalise(ordered);
  json root = json::object();
  root[std::string(format_key)] = set_format;
  for_each_kind(ordered, [&](object_kind kind, const auto& objects) {
    json list = json::array();
    for (const auto& object : objects) {
      list.push_back(write_object(object));
    }
    root[std::string(kind_name(kind))] = std::move(list);
  });
  return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<configuration> parse_set(std::string_view text) {
  if (text.size() > max_set_bytes) {
    return support::make_error(result_code::out_of_range, "the set is too large");
  }
  const auto root = json::parse(text, nullptr, false);
  if (!root.is_object()) {
    return support::make_error(result_code::bad_yaml, "the set is not a JSON object");
  }
  const auto format = root.find(std::string(format_key));
  if (format == root.end() || *format != set_format) {
    return support::make_error(result_code::bad_yaml, "the format of the set is not supported");
  }
  configuration set;
  absl::Status status;
  std::size_t kinds = 0;
  for_each_kind(set, [&](object_kind kind, auto& objects) {
    ++kinds;
    if (status.ok()) {
      status = read_objects(root, kind_name(kind), objects);
    }
  });
  if (!status.ok()) {
    return status;
  }
  if (root.size() != kinds + 1) {
    return support::make_error(result_code::unknown_key,
                               "the set has a key that is not a kind of object");
  }
  return set;
}

std::string to_yaml(const configuration& set) {
  configuration ordered = set;
  normalise(ordered);
  std::string text;
  for_each_kind(ordered, [&](object_kind kind, const auto& objects) {
    for (const auto& object : objects) {
      absl::StrAppend(&text, text.empty() ? "" : "---\n", "kind: ", std::string(kind_name(kind)),
                      "\n");
      const json fields = write_object(object);
      for (const auto& [key, value] : fields.items()) {
        // JSON values are valid YAML.
        absl::StrAppend(&text, key, ": ", value.dump(-1, ' ', true, json::error_handler_t::replace),
                        "\n");
      }
    }
  });
  return text;
}

std::vector<object_change> difference(const configuration& before, const configuration& after) {
  configuration old_set = before;
  configuration new_set = after;
  normalise(old_set);
  normalise(new_set);
  std::vector<object_change> changes;
  const auto compare = [&](object_kind kind, auto list) {
    compare_objects(kind, old_set.*list, new_set.*list, changes);
  };
  compare(object_kind::data_centre, &configuration::data_centres);
  compare(object_kind::organisation, &configuration::organisations);
  compare(object_kind::priority, &configuration::priorities);
  compare(object_kind::limits, &configuration::limit_sets);
  compare(object_kind::service, &configuration::services);
  compare(object_kind::route, &configuration::routes);
  compare(object_kind::host_route, &configuration::host_routes);
  compare(object_kind::caller_policy, &configuration::caller_policies);
  return changes;
}

} // namespace acaciasill::model

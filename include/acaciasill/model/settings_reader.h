#ifndef ACACIASILL_MODEL_SETTINGS_READER_H
#define ACACIASILL_MODEL_SETTINGS_READER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "acaciasill/support/result_code.h"
#include "acaciasill/support/time.h"

// Reads YAML mappings into struct fields with validation, for program settings and configuration
// objects. All problems are collected, so that the author of a file sees them in one run.
namespace acaciasill::model {

// Limits of one YAML text, checked before a document tree is built from it.
inline constexpr std::size_t max_yaml_bytes = std::size_t{4} << 20U;
inline constexpr std::size_t max_yaml_depth = 16;
inline constexpr std::size_t max_yaml_nodes = 400000;

// A problem found in a file.
struct finding {
  std::string file;
  // Line number from 1; 0 if the problem has no line.
  int line = 0;
  // Kind and name of the object, for example "service catalogue"; empty for program settings.
  std::string object;
  std::string key;
  support::result_code code = support::result_code::bad_yaml;
  // Detail beyond the description of the code; may be empty.
  std::string text;

  bool operator==(const finding&) const = default;
};

// Formats a finding as one line: "file:line: object: key: ACS-1003 a key is not known: text".
std::string format_finding(const finding& problem);

// Line of a key in its file.
struct key_position {
  std::string key;
  int line = 0;

  bool operator==(const key_position&) const = default;
};

// Presence requirement of a key.
enum class presence : std::uint8_t { optional, required };

// Reads the keys of one mapping. A field whose key is absent or invalid keeps its value.
class settings_reader {
public:
  settings_reader(std::string file, const YAML::Node& node, std::string object = {});

  // Each function reads one key into the field, or records a finding if the value is invalid.
  // Bounds are inclusive.
  void text(std::string_view key, std::string& field, presence needed = presence::optional);
  void flag(std::string_view key, bool& field, presence needed = presence::optional);
  void number(std::string_view key, double& field, double min, double max,
              presence needed = presence::optional);
  void time_span(std::string_view key, support::milliseconds& field, support::milliseconds min,
                 support::milliseconds max, presence needed = presence::optional);
  void text_list(std::string_view key, std::vector<std::string>& field,
                 presence needed = presence::optional);

  // Reads an integer. The type must be able to represent both bounds.
  template <typename Integer>
  void integer(std::string_view key, Integer& field, std::int64_t min, std::int64_t max,
               presence needed = presence::optional) {
    if (const auto value = read_integer(key, min, max, needed)) {
      field = static_cast<Integer>(*value);
    }
  }

  // Reads a nested mapping by calling the function with a reader for it.
  void section(std::string_view key, const std::function<void(settings_reader&)>& read,
               presence needed = presence::optional);

  // Reads a list of mappings by calling the function with a reader for each of them.
  void sections(std::string_view key, const std::function<void(settings_reader&)>& read,
                presence needed = presence::optional);

  // Records a problem that the caller found with the value of a key.
  void reject(std::string_view key, support::result_code code, std::string text);

  // Returns the line of the key, or of the mapping if the key is absent.
  int find_line(std::string_view key) const;

  // Returns all keys of the mapping in file order.
  std::vector<key_position> keys() const;

  // Records a finding for each key that no function read, and returns all findings, sorted by line.
  // The reader must not be used afterwards.
  std::vector<finding> finish();

private:
  std::optional<std::int64_t> read_integer(std::string_view key, std::int64_t min, std::int64_t max,
                                           presence needed);
  std::optional<YAML::Node> consume(std::string_view key, presence needed);
  std::optional<std::string> consume_scalar(std::string_view key, presence needed,
                                            std::string_view expected);
  void report(std::string_view key, int line, support::result_code code, std::string text);

  // A key of the mapping with its value.
  struct entry {
    std::string key;
    int line = 0;
    YAML::Node value;
    bool consumed = false;
  };

  std::string file_;
  std::string object_;
  int line_ = 0;
  // In file order.
  std::vector<entry> entries_;
  std::vector<finding> findings_;
};

// Parses a text of one or more YAML documents within the limits above. Anchors and aliases are not
// supported. If there is a problem, it is appended to the findings and the result is empty.
std::vector<YAML::Node> parse_yaml(const std::string& file, const std::string& text,
                                   std::vector<finding>& findings);

// Reads up to max_yaml_bytes + 1 bytes of a file, so that parse_yaml can reject a larger file.
// Returns std::nullopt and appends a finding if the file cannot be read.
std::optional<std::string> read_bounded_file(const std::string& path,
                                             std::vector<finding>& findings);

// Reads a program's settings file, which holds at most one document, by calling the function with a
// reader for it. Returns all findings; the list is empty if the settings are valid.
std::vector<finding> read_settings_file(const std::string& path,
                                        const std::function<void(settings_reader&)>& read);

// Prints each finding on one line of standard error.
void print_findings(const std::vector<finding>& findings);

} // namespace acaciasill::model

#endif

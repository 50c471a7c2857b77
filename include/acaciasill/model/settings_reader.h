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

// Checked reading of YAML mappings into struct fields, for the settings of programs and for
// configuration objects. Every problem is collected, so that an author sees all of them at once.
namespace acaciasill::model {

// The bounds of one YAML text, applied before anything is built from it.
inline constexpr std::size_t max_yaml_bytes = std::size_t{4} << 20U;
inline constexpr std::size_t max_yaml_depth = 16;
inline constexpr std::size_t max_yaml_nodes = 400000;

// One problem in a file.
struct finding {
  std::string file;
  // Counted from 1; 0 where the problem belongs to no line.
  int line = 0;
  // The object, for example "service catalogue"; empty in a program's settings.
  std::string object;
  std::string key;
  support::result_code code = support::result_code::bad_yaml;
  // What is said beyond the text of the code; may be empty.
  std::string text;

  bool operator==(const finding&) const = default;
};

// One line for people: "file:line: object: key: ACS-1003 a key is not known: text".
std::string format_finding(const finding& problem);

// Where a key stands in its file.
struct key_position {
  std::string key;
  int line = 0;

  bool operator==(const key_position&) const = default;
};

// Whether a key has to be there.
enum class presence : std::uint8_t { optional, required };

// Reads one mapping key by key. A field whose key is absent or wrong keeps its value.
class settings_reader {
public:
  settings_reader(std::string file, const YAML::Node& node, std::string object = {});

  // Each of these reads one key into the field and records what is wrong with it. Bounds are
  // inclusive.
  void text(std::string_view key, std::string& field, presence needed = presence::optional);
  void flag(std::string_view key, bool& field, presence needed = presence::optional);
  void number(std::string_view key, double& field, double min, double max,
              presence needed = presence::optional);
  void time_span(std::string_view key, support::milliseconds& field, support::milliseconds min,
                 support::milliseconds max, presence needed = presence::optional);
  void text_list(std::string_view key, std::vector<std::string>& field,
                 presence needed = presence::optional);

  // Reads a whole number of any integer type that holds the bounds.
  template <typename Integer>
  void integer(std::string_view key, Integer& field, std::int64_t min, std::int64_t max,
               presence needed = presence::optional) {
    if (const auto value = read_integer(key, min, max, needed)) {
      field = static_cast<Integer>(*value);
    }
  }

  // Reads a mapping below the key by calling the function with a reader of it.
  void section(std::string_view key, const std::function<void(settings_reader&)>& read,
               presence needed = presence::optional);

  // Reads a list of mappings below the key by calling the function once for each.
  void sections(std::string_view key, const std::function<void(settings_reader&)>& read,
                presence needed = presence::optional);

  // Records a problem with a key that the caller itself has found.
  void reject(std::string_view key, support::result_code code, std::string text);

  // The line of the key, or of the mapping where the key is absent.
  int line_of(std::string_view key) const;

  // All keys of the mapping in the order of the file.
  std::vector<key_position> keys() const;

  // Records each key that was never asked for and each key that is given twice, and returns all
  // findings. The reader is of no further use.
  std::vector<finding> finish();

private:
  std::optional<std::int64_t> read_integer(std::string_view key, std::int64_t min, std::int64_t max,
                                           presence needed);
  std::optional<YAML::Node> take(std::string_view key, presence needed);
  std::optional<std::string> take_scalar(std::string_view key, presence needed,
                                         std::string_view expected);
  void report(std::string_view key, int line, support::result_code code, std::string text);

  // A key of the mapping, in the order of the file.
  struct entry {
    std::string key;
    int line = 0;
    YAML::Node value;
    bool asked_for = false;
  };

  std::string file_;
  std::string object_;
  int line_ = 0;
  std::vector<entry> entries_;
  std::vector<finding> findings_;
};

// Parses a text of one or more YAML documents within the bounds above. Anchors and aliases are not
// taken. Problems are appended to the findings, and the result is then empty.
std::vector<YAML::Node> parse_yaml(const std::string& file, const std::string& text,
                                   std::vector<finding>& findings);

// Reads a whole file of at most max_yaml_bytes; nothing, and a finding, where that fails.
std::optional<std::string> read_bounded_file(const std::string& path,
                                             std::vector<finding>& findings);

// Reads a program's settings file of one document through the function and returns all findings;
// an empty list says that the settings are good.
std::vector<finding> read_settings_file(const std::string& path,
                                        const std::function<void(settings_reader&)>& read);

// Writes one line for each finding to standard error.
void print_findings(const std::vector<finding>& findings);

} // namespace acaciasill::model

#endif

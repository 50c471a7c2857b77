#ifndef ACACIASILL_MODEL_CONFIGURATION_SET_H
#define ACACIASILL_MODEL_CONFIGURATION_SET_H

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "acaciasill/model/configuration.h"
#include "acaciasill/model/object_fields.h"
#include "acaciasill/model/settings_reader.h"

// Configuration sets as text: the operators' YAML folders, and the canonical JSON of the object
// store.
namespace acaciasill::model {

// The bound of a whole set, as YAML files together or as JSON.
inline constexpr std::size_t max_set_bytes = std::size_t{32} << 20U;

// Where an object was read from.
struct object_source {
  object_kind kind{};
  std::string name;
  std::string file;
  int line = 0;
  std::vector<key_position> keys;

  bool operator==(const object_source&) const = default;
};

// A set as it was read from files, with the place of each object for findings.
struct loaded_set {
  configuration set;
  std::vector<object_source> sources;

  bool operator==(const loaded_set&) const = default;
};

// Reads the objects of one YAML text into the set. Objects with problems in their fields are read
// as far as they go; an object whose name is taken is left out.
void load_text(const std::string& file, const std::string& text, loaded_set& loaded,
               std::vector<finding>& findings);

// Reads all files of the folder and the folders below it that end in .yaml or .yml, in the order of
// their paths, normalises the set and checks it as a whole.
loaded_set load_directory(const std::string& directory, std::vector<finding>& findings);

// Brings a set into the one order that its serialisation uses: objects, methods and calls sorted,
// each once.
void normalise(configuration& set);

// The canonical JSON of the set's objects. The generation and the revision are not part of it, so
// that equal content has equal digests. The set is normalised.
std::string serialise(const configuration& set);

// Reads what serialise wrote. Errors: bad_yaml where the text is no JSON of this form, and the code
// of the first wrong field.
absl::StatusOr<configuration> parse_set(std::string_view text);

// The set as YAML documents that load_text reads back.
std::string to_yaml(const configuration& set);

// One field of an object that differs between two sets, each side as JSON.
struct field_change {
  std::string key;
  std::string before;
  std::string after;

  bool operator==(const field_change&) const = default;
};

// One object that differs between two sets: added where before is false, removed where after is.
struct object_change {
  object_kind kind{};
  std::string name;
  bool before = false;
  bool after = false;
  std::vector<field_change> fields;

  bool operator==(const object_change&) const = default;
};

// What changes from one set to the other, in the order of kinds and names.
std::vector<object_change> difference(const configuration& before, const configuration& after);

} // namespace acaciasill::model

#endif

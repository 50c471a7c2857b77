#ifndef ACACIASILL_MODEL_CONFIGURATION_SET_H
#define ACACIASILL_MODEL_CONFIGURATION_SET_H

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "acaciasill/model/configuration.h"
#include "acaciasill/model/object_fields.h"
#include "acaciasill/model/settings_reader.h"

// Reads and writes configuration sets: YAML directories maintained by operators, and the canonical
// JSON kept in the object store.
namespace acaciasill::model {

// Largest size of a set in bytes: the total of its YAML files, or its JSON text.
inline constexpr std::size_t max_set_bytes = std::size_t{32} << 20U;

// Source location of an object.
struct object_source {
  object_kind kind{};
  std::string name;
  std::string file;
  int line = 0;
  std::vector<key_position> keys;

  bool operator==(const object_source&) const = default;
};

// A set read from files, with the source location of each object for findings.
struct loaded_set {
  configuration set;
  std::vector<object_source> sources;

  bool operator==(const loaded_set&) const = default;
};

// Reads the objects of one YAML text into the set. Fields with problems keep their defaults; an
// object that has no name, or the name of an earlier object of its kind, is skipped. Problems are
// appended to the findings.
void load_text(const std::string& file, const std::string& text, loaded_set& loaded,
               std::vector<finding>& findings);

// Reads all .yaml and .yml files in the directory tree in path order, then normalises and validates
// the set. Problems are appended to the findings, which are then sorted by file and line. Reading
// stops without validation when the files exceed max_set_bytes.
loaded_set load_directory(const std::string& directory, std::vector<finding>& findings);

// Sorts a set into its canonical order: objects by name, and methods of routes and calls of
// services sorted without duplicates.
void normalise(configuration& set);

// Returns the canonical JSON of the set's objects in normalised order. The generation and the
// source revision are excluded, so that equal content has equal digests.
std::string serialise(const configuration& set);

// Parses the output of serialise. Errors: out_of_range if the text exceeds max_set_bytes, bad_yaml
// if it is not JSON of a supported format, otherwise the code of the first invalid field.
absl::StatusOr<configuration> parse_set(std::string_view text);

// Returns the set as YAML documents that load_text can read.
std::string to_yaml(const configuration& set);

// A field of an object that differs between two sets, with both values as JSON text. The value is
// empty on the side where the object or field does not exist.
struct field_change {
  std::string key;
  std::string before;
  std::string after;

  bool operator==(const field_change&) const = default;
};

// An object that differs between two sets. It was added if before is false and removed if after is
// false.
struct object_change {
  object_kind kind{};
  std::string name;
  bool before = false;
  bool after = false;
  std::vector<field_change> fields;

  bool operator==(const object_change&) const = default;
};

// Returns the objects that differ between two sets, ordered by kind and name.
std::vector<object_change> difference(const configuration& before, const configuration& after);

} // namespace acaciasill::model

#endif

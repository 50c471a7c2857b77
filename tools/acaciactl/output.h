#ifndef ACACIASILL_TOOLS_ACACIACTL_OUTPUT_H
#define ACACIASILL_TOOLS_ACACIACTL_OUTPUT_H

#include <ostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "acaciasill/control/configuration_head.h"
#include "acaciasill/model/configuration_set.h"
#include "acaciasill/model/settings_reader.h"

namespace acaciasill::ctl {

using json = nlohmann::ordered_json;

// Rows of cells; the first row is the heading.
using table = std::vector<std::vector<std::string>>;

// Prints a table with aligned columns.
void print_table(std::ostream& out, const table& rows);

// Prints a JSON document in human-readable form: scalar members as name and value, lists of objects
// as tables.
void print_document(std::ostream& out, const json& document);

json to_json(const model::finding& finding);
json to_json(const model::object_change& change);
json to_json(const control::configuration_head& head);

// Prints a JSON document on one line. Invalid UTF-8 is replaced by U+FFFD.
void print_json(std::ostream& out, const json& document);

} // namespace acaciasill::ctl

#endif

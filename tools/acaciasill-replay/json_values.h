#ifndef ACACIASILL_TOOLS_REPLAY_JSON_VALUES_H
#define ACACIASILL_TOOLS_REPLAY_JSON_VALUES_H

#include <nlohmann/json.hpp>

#include "acaciasill/control/node.h"

// Settings, events and actions as JSON. Reading takes the default for a missing member and throws
// nlohmann's exceptions on a wrong type, which replay_session turns into an error.
namespace acaciasill::replay {

control::node_settings read_settings(const nlohmann::json& line);

// Reads an event of a node by its name; nothing for an unknown name.
std::optional<control::event> read_event(const std::string& name, const nlohmann::json& line);

// An action as JSON, and whether it is printed only on request.
struct printed_action {
  nlohmann::ordered_json value;
  bool detail = false;
};

printed_action print_action(const control::action& next);

} // namespace acaciasill::replay

#endif

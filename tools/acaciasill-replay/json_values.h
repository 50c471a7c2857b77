#ifndef ACACIASILL_TOOLS_REPLAY_JSON_VALUES_H
#define ACACIASILL_TOOLS_REPLAY_JSON_VALUES_H

#include <nlohmann/json.hpp>

#include "acaciasill/control/node.h"

// Conversion of settings and events from JSON, and of actions to JSON. Most absent members take
// their default. Wrong types and absent required members throw nlohmann::json exceptions, which
// replay_session converts to errors.
namespace acaciasill::replay {

control::node_settings read_settings(const nlohmann::json& line);

// Reads the members of the named event; nullopt for an unknown name.
std::optional<control::event> read_event(const std::string& name, const nlohmann::json& line);

// Action as JSON.
struct formatted_action {
  nlohmann::ordered_json value;
  // Whether the action is printed only with --all.
  bool verbose_only = false;
};

formatted_action format_action(const control::action& next);

} // namespace acaciasill::replay

#endif

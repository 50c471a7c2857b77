#include <iostream>

#include "acaciasill/model/settings_reader.h"
#include "acaciasill/support/command_line.h"
#include "acaciasill/support/log.h"
#include "server.h"
#include "settings.h"

namespace {

using namespace acaciasill;

const support::program_description program{
    "standin-backend",
    "Simulates a backend server with slots, injected faults and child calls.",
    {{"config", 'c', "FILE", "settings in YAML (required)"},
     {"listen", 'l', "ADDRESS:PORT", "listen address; overrides the settings file"},
     {"daemon", 'd', "URL", "daemon to announce to; overrides the settings file"},
     {"log-level", 0, "LEVEL", "debug, info, warning or error"},
     {"log-json", 0, "", "log as JSON lines"}}};

// Reads the settings file and the options that override it. Returns no findings if all are valid.
std::vector<model::finding> load_settings(const support::command_line& line,
                                          standin::settings& config) {
  const auto read = [&config, &line](model::settings_reader& reader) {
    standin::read_settings(reader, config);
    config.listen = line.value("listen").value_or(config.listen);
    config.daemon = line.value("daemon").value_or(config.daemon);
  };
  return model::read_settings_file(*line.value("config"), read);
}

} // namespace

int main(int argc, char** argv) {
  int status = support::exit_success;
  const auto line = support::start_command_line(argc, argv, program, status);
  if (!line) {
    return status;
  }
  support::log_settings log;
  log.json = line->has("log-json");
  if (const auto level = line->value("log-level")) {
    if (const auto parsed = support::parse_log_level(*level, log.level); !parsed.ok()) {
      return support::report_failure(program.name, parsed);
    }
  }
  if (!line->has("config")) {
    return support::report_failure(program.name,
                                   support::make_error(support::result_code::bad_command_line,
                                                       "missing option: --config FILE"));
  }
  standin::settings config;
  if (const auto findings = load_settings(*line, config); !findings.empty()) {
    model::print_findings(findings);
    return support::exit_bad_input;
  }
  if (standin::endpoint listen; !standin::parse_endpoint(config.listen, listen)) {
    return support::report_failure(
        program.name,
        support::make_error(support::result_code::bad_command_line, "--listen takes ADDRESS:PORT"));
  }
  support::start_logging(log);
  return standin::serve(config);
}

#include <csignal>

#include "acaciasill/daemon/daemon.h"
#include "acaciasill/model/settings_reader.h"
#include "acaciasill/support/command_line.h"
#include "acaciasill/support/log.h"

using namespace acaciasill;

namespace {

const support::program_description program = {
    "acaciasilld",
    "Runs the overload control daemon beside one backend server.",
    {{"config", 'c', "FILE", "settings in YAML (required)"},
     {"check", 0, "", "check the settings and exit"}}};

} // namespace

// Runs the daemon until SIGTERM.
int main(int argc, char** argv) {
  int exit_status = support::exit_success;
  const auto arguments = support::start_command_line(argc, argv, program, exit_status);
  if (!arguments) {
    return exit_status;
  }
  const auto file = arguments->value("config");
  if (!file) {
    return support::report_failure(program.name,
                                   support::make_error(support::result_code::bad_command_line,
                                                       "missing option: --config FILE"));
  }
  daemon::daemon_settings settings;
  const auto findings = model::read_settings_file(
      *file, [&settings](auto& reader) { daemon::read_daemon_settings(reader, settings); });
  if (!findings.empty()) {
    model::print_findings(findings);
    return support::exit_bad_input;
  }
  if (arguments->has("check")) {
    return support::exit_success;
  }
  support::start_logging(settings.log);
  std::signal(SIGPIPE, SIG_IGN);
  daemon::daemon_process process(settings);
  if (const auto status = process.start(); !status.ok()) {
    return support::report_failure(program.name, status);
  }
  process.run();
  return support::exit_success;
}

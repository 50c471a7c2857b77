#include <algorithm>
#include <iterator>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "acaciasill/model/settings_reader.h"
#include "acaciasill/support/log.h"
#include "acaciasill/support/result_code.h"
#include "invocation.h"

namespace {

using namespace acaciasill;
using support::result_code;

constexpr support::milliseconds max_timeout{600000};

const support::program_description program{
    std::string(ctl::program_name),
    "Checks, publishes and shows configuration sets, and queries daemons.\n\n"
    "commands:\n"
    "  check DIR            check a set and print all findings\n"
    "  diff DIR [DIR]       compare a set with the one in force, or two sets\n"
    "  publish DIR          check a set and publish it as the next generation\n"
    "  history [COUNT]      list the newest generations\n"
    "  show [GENERATION]    print a generation's set as YAML (the one in force)\n"
    "  rollback GENERATION  publish the set of an earlier generation again\n"
    "  status               print the state of a daemon\n"
    "  explain REQUEST-ID   print a daemon's decisions about a request\n\n"
    "exit status: 0 success, 1 findings or a conflict, 2 bad input, 3 platform or daemon "
    "unreachable",
    {{"platform", 'p', "URL", "platform address, http://IP:PORT"},
     {"daemon", 'd', "URL",
      "daemon address, http://IP:PORT; check and publish then reject sets that lack names in use"},
     {"output", 'o', "text|json", "output format (text)"},
     {"config", 'c', "FILE", "settings in YAML: platform, daemon, timeout_ms"},
     {"timeout-ms", 0, "MS", "time limit of the command (30000)"},
     {"revision", 'r', "TEXT", "version control revision of the set"},
     {"token", 0, "TEXT", "retry a publish or rollback that used this token"},
     {"expect", 0, "GENERATION", "publish only if this generation is in force"}}};

struct command {
  std::string_view name;
  std::size_t min_arguments;
  std::size_t max_arguments;
  ctl::command_function run;
};

constexpr command commands[] = {
    {"check", 1, 1, ctl::run_check},     {"diff", 1, 2, ctl::run_diff},
    {"publish", 1, 1, ctl::run_publish}, {"rollback", 1, 1, ctl::run_rollback},
    {"history", 0, 1, ctl::run_history}, {"show", 0, 1, ctl::run_show},
    {"status", 0, 0, ctl::run_status},   {"explain", 1, 1, ctl::run_explain},
};

absl::Status bad_command_line(std::string_view detail) {
  return support::make_error(result_code::bad_command_line, detail);
}

std::vector<model::finding> read_settings(const std::string& path, ctl::invocation& options) {
  return model::read_settings_file(path, [&](model::settings_reader& reader) {
    reader.text("platform", options.platform_url);
    reader.text("daemon", options.daemon_url);
    reader.time_span("timeout_ms", options.timeout, support::milliseconds(1), max_timeout);
  });
}

// Reads the command line options, which override the settings file.
absl::Status read_options(const support::command_line& line, ctl::invocation& options) {
  options.platform_url = line.value("platform").value_or(options.platform_url);
  options.daemon_url = line.value("daemon").value_or(options.daemon_url);
  options.revision = line.value("revision").value_or("");
  options.token = line.value("token").value_or("");
  options.expected_generation = line.value("expect").value_or("");
  const auto output = line.value("output").value_or("text");
  if (output != "text" && output != "json") {
    return bad_command_line("--output must be text or json");
  }
  options.output = output == "json" ? ctl::output_form::json : ctl::output_form::text;
  if (const auto text = line.value("timeout-ms")) {
    std::int64_t timeout = 0;
    if (!absl::SimpleAtoi(*text, &timeout) || timeout < 1 || timeout > max_timeout.count()) {
      return bad_command_line("--timeout-ms must be from 1 to 600000");
    }
    options.timeout = support::milliseconds(timeout);
  }
  return absl::OkStatus();
}

int run_command(const ctl::invocation& options) {
  const auto found =
      std::find_if(std::begin(commands), std::end(commands),
                   [&](const command& candidate) { return candidate.name == options.command; });
  if (found == std::end(commands)) {
    return ctl::fail(bad_command_line(absl::StrCat(options.command, " is not a command")));
  }
  if (options.arguments.size() < found->min_arguments ||
      options.arguments.size() > found->max_arguments) {
    return ctl::fail(
        bad_command_line(absl::StrCat("wrong number of arguments for ", options.command)));
  }
  return found->run(options);
}

} // namespace

int main(int argc, char** argv) {
  int exit_status = support::exit_success;
  const auto line = support::start_command_line(argc, argv, program, exit_status);
  if (!line) {
    return exit_status;
  }
  support::start_logging({support::log_level::warning, false});
  if (line->positionals().empty()) {
    return ctl::fail(bad_command_line("missing command; see --help"));
  }
  ctl::invocation options;
  options.command = line->positionals().front();
  options.arguments.assign(line->positionals().begin() + 1, line->positionals().end());
  if (const auto path = line->value("config")) {
    if (const auto findings = read_settings(*path, options); !findings.empty()) {
      model::print_findings(findings);
      return support::exit_bad_input;
    }
  }
  if (const auto status = read_options(*line, options); !status.ok()) {
    return ctl::fail(status);
  }
  return run_command(options);
}

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
    "Checks, publishes and shows configuration sets, and asks daemons.\n\n"
    "commands:\n"
    "  check DIR            check a set as a whole and print all findings\n"
    "  diff DIR [DIR]       what publishing would change, or what differs between two folders\n"
    "  publish DIR          check a set and put it in force as the next generation\n"
    "  history [COUNT]      the newest generations\n"
    "  show [GENERATION]    a generation's set as YAML, the one in force by default\n"
    "  rollback GENERATION  publish the set of an older generation again\n"
    "  status               what a daemon holds in force\n"
    "  explain REQUEST-ID   what a daemon decided about a request\n\n"
    "exit status: 0 done, 1 findings or a conflict, 2 bad input, 3 the platform or daemon is away",
    {{"platform", 'p', "URL", "the platform, http://IP:PORT"},
     {"daemon", 'd', "URL",
      "a daemon, http://IP:PORT; with check and publish, names in use are kept"},
     {"output", 'o', "text|json", "how results are printed (text)"},
     {"config", 'c', "FILE", "settings in YAML: platform, daemon, timeout_ms"},
     {"timeout-ms", 0, "MS", "the longest time of the command (30000)"},
     {"revision", 'r', "TEXT", "the revision of the set in version control"},
     {"token", 0, "TEXT", "settle an earlier publish or rollback that used this token"},
     {"expect", 0, "GENERATION", "publish only over this generation"}}};

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

std::vector<model::finding> read_settings(const std::string& path, ctl::invocation& asked) {
  return model::read_settings_file(path, [&](model::settings_reader& reader) {
    reader.text("platform", asked.platform_url);
    reader.text("daemon", asked.daemon_url);
    reader.time_span("timeout_ms", asked.timeout, support::milliseconds(1), max_timeout);
  });
}

// Reads the options into the invocation, over what the settings say.
absl::Status read_options(const support::command_line& line, ctl::invocation& asked) {
  asked.platform_url = line.value("platform").value_or(asked.platform_url);
  asked.daemon_url = line.value("daemon").value_or(asked.daemon_url);
  asked.revision = line.value("revision").value_or("");
  asked.token = line.value("token").value_or("");
  asked.expected_generation = line.value("expect").value_or("");
  const auto output = line.value("output").value_or("text");
  if (output != "text" && output != "json") {
    return bad_command_line("--output takes text or json");
  }
  asked.output = output == "json" ? ctl::output_form::json : ctl::output_form::text;
  if (const auto text = line.value("timeout-ms")) {
    std::int64_t timeout = 0;
    if (!absl::SimpleAtoi(*text, &timeout) || timeout < 1 || timeout > max_timeout.count()) {
      return bad_command_line("--timeout-ms takes 1 to 600000");
    }
    asked.timeout = support::milliseconds(timeout);
  }
  return absl::OkStatus();
}

int run_command(const ctl::invocation& asked) {
  const auto found = std::find_if(std::begin(commands), std::end(commands),
                                  [&](const command& each) { return each.name == asked.command; });
  if (found == std::end(commands)) {
    return ctl::fail(bad_command_line(absl::StrCat(asked.command, " is no command")));
  }
  if (asked.arguments.size() < found->min_arguments ||
      asked.arguments.size() > found->max_arguments) {
    return ctl::fail(bad_command_line(absl::StrCat("wrong arguments of ", asked.command)));
  }
  return found->run(asked);
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
    return ctl::fail(bad_command_line("a command is needed; --help lists them"));
  }
  ctl::invocation asked;
  asked.command = line->positionals().front();
  asked.arguments.assign(line->positionals().begin() + 1, line->positionals().end());
  if (const auto path = line->value("config")) {
    if (const auto findings = read_settings(*path, asked); !findings.empty()) {
      model::print_findings(findings);
      return support::exit_bad_input;
    }
  }
  if (const auto status = read_options(*line, asked); !status.ok()) {
    return ctl::fail(status);
  }
  return run_command(asked);
}

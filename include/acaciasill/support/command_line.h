#ifndef ACACIASILL_SUPPORT_COMMAND_LINE_H
#define ACACIASILL_SUPPORT_COMMAND_LINE_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

// The command line that all programs share: long options by getopt_long, with --help and --version.
namespace acaciasill::support {

// The exit statuses of every program. A program may document further ones.
inline constexpr int exit_success = 0;
inline constexpr int exit_failure = 1;
inline constexpr int exit_bad_input = 2;

// One option that a program takes.
struct option_spec {
  // The long name without its dashes.
  std::string name;
  // The one-letter name, or 0 for none.
  char short_name = 0;
  // What the help calls the value; empty for a flag, which takes none.
  std::string value_name;
  std::string help;

  bool operator==(const option_spec&) const = default;
};

// An option as it was given. The value of a flag is empty.
struct given_option {
  std::string name;
  std::string value;

  bool operator==(const given_option&) const = default;
};

// The options and arguments that a program was started with.
class command_line {
public:
  command_line() = default;
  command_line(std::vector<given_option> options, std::vector<std::string> positionals);

  // Whether the option was given at least once.
  bool has(std::string_view name) const;

  // The value that was given last, or nothing.
  std::optional<std::string> value(std::string_view name) const;

  // All values of the option in the order of the command line.
  std::vector<std::string> values(std::string_view name) const;

  // The arguments that belong to no option.
  const std::vector<std::string>& positionals() const { return positionals_; }

  bool operator==(const command_line&) const = default;

private:
  std::vector<given_option> options_;
  std::vector<std::string> positionals_;
};

// What a program says of itself in its help.
struct program_description {
  std::string name;
  std::string summary;
  // Options besides --help and --version.
  std::vector<option_spec> options;

  bool operator==(const program_description&) const = default;
};

// Reads the arguments; --help and --version are known besides the options given. The first element
// of argv is the program's name. Errors: bad_command_line.
absl::StatusOr<command_line> parse_command_line(int argc, char** argv,
                                                const std::vector<option_spec>& options);

// The text of --help.
std::string format_usage(std::string_view program, std::string_view summary,
                         const std::vector<option_spec>& options);

// Reads the arguments of a program and answers --help and --version on standard output and a bad
// command line by one line on standard error. Returns nothing when the program is to end at once
// with the exit status that was stored.
std::optional<command_line>
start_command_line(int argc, char** argv, const program_description& program, int& exit_status);

// Writes one line, "program: ACS-nnnn text", to standard error and returns the exit status that
// belongs to the code: exit_bad_input for codes of settings and command lines, else exit_failure.
int report_failure(std::string_view program, const absl::Status& status);

} // namespace acaciasill::support

#endif

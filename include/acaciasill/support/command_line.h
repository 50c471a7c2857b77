#ifndef ACACIASILL_SUPPORT_COMMAND_LINE_H
#define ACACIASILL_SUPPORT_COMMAND_LINE_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

// Command line parsing for all programs: long and short options through getopt_long, with --help
// and --version.
namespace acaciasill::support {

// Exit statuses common to all programs. A program may document further ones.
inline constexpr int exit_success = 0;
inline constexpr int exit_failure = 1;
inline constexpr int exit_bad_input = 2;

// An option that a program accepts.
struct option_spec {
  // Long name without the leading dashes.
  std::string name;
  // One-letter name; 0 for none.
  char short_name = 0;
  // Placeholder for the value in the help text; empty for a flag, which takes no value.
  std::string value_name;
  std::string help;

  bool operator==(const option_spec&) const = default;
};

// An option present on the command line. The value of a flag is empty.
struct parsed_option {
  std::string name;
  std::string value;

  bool operator==(const parsed_option&) const = default;
};

// The parsed options and arguments of a program.
class command_line {
public:
  command_line() = default;
  command_line(std::vector<parsed_option> options, std::vector<std::string> positionals);

  // Returns true if the option is present.
  bool has(std::string_view name) const;

  // Returns the last value of the option, or std::nullopt if it is absent.
  std::optional<std::string> value(std::string_view name) const;

  // Returns all values of the option in command line order.
  std::vector<std::string> values(std::string_view name) const;

  // Returns the arguments that are neither options nor their values.
  const std::vector<std::string>& positionals() const { return positionals_; }

  bool operator==(const command_line&) const = default;

private:
  std::vector<parsed_option> options_;
  std::vector<std::string> positionals_;
};

// Name, summary and options of a program for its help text.
struct program_description {
  std::string name;
  std::string summary;
  // Options besides --help and --version.
  std::vector<option_spec> options;

  bool operator==(const program_description&) const = default;
};

// Parses the arguments. --help and --version are accepted in addition to the options. The first
// element of argv is the program's name. Errors: bad_command_line. Thread-safe.
absl::StatusOr<command_line> parse_command_line(int argc, char** argv,
                                                const std::vector<option_spec>& options);

// Returns the text that --help prints.
std::string format_usage(std::string_view program, std::string_view summary,
                         const std::vector<option_spec>& options);

// Parses the arguments of a program, prints the answer to --help or --version on standard output,
// and reports a bad command line on standard error. Returns std::nullopt if the program must exit
// with the status stored in exit_status.
std::optional<command_line>
start_command_line(int argc, char** argv, const program_description& program, int& exit_status);

// Prints "program: ACS-nnnn text" on standard error and returns the exit status for the code:
// exit_bad_input for codes of settings, configuration sets and command lines, otherwise
// exit_failure.
int report_failure(std::string_view program, const absl::Status& status);

} // namespace acaciasill::support

#endif

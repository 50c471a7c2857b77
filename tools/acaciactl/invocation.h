#ifndef ACACIASILL_TOOLS_ACACIACTL_INVOCATION_H
#define ACACIASILL_TOOLS_ACACIACTL_INVOCATION_H

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "acaciasill/support/command_line.h"
#include "acaciasill/support/time.h"

namespace acaciasill::ctl {

// Exit status when the platform or the daemon is unreachable, when the platform holds corrupt data,
// or when it is unknown whether a write to the platform took effect.
inline constexpr int exit_unreachable = 3;

// Exit status when a check has findings or a publication conflicts with another one.
inline constexpr int exit_findings = support::exit_failure;

// Format of the results on standard output.
enum class output_form { text, json };

// Parsed command line, merged with the settings file.
struct invocation {
  std::string command;
  std::vector<std::string> arguments;
  output_form output = output_form::text;
  std::string platform_url;
  std::string daemon_url;
  // Time limit for the whole command.
  support::milliseconds timeout{30000};
  std::string revision;
  // Publication token of an earlier attempt to retry; empty for a new publication.
  std::string token;
  // Text of the generation that must be in force for a publication to succeed; empty for any.
  std::string expected_generation;
};

// Program name in error messages.
inline constexpr std::string_view program_name = "acaciactl";

// Prints an error on one line and returns the exit status for its result code.
int fail(const absl::Status& status);

// Runs one command and returns the process's exit status. The caller has checked the number of
// positional arguments.
using command_function = int (*)(const invocation&);

int run_check(const invocation& options);
int run_diff(const invocation& options);
int run_publish(const invocation& options);
int run_rollback(const invocation& options);
int run_history(const invocation& options);
int run_show(const invocation& options);
int run_status(const invocation& options);
int run_explain(const invocation& options);

} // namespace acaciasill::ctl

#endif

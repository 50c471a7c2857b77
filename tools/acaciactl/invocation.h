#ifndef ACACIASILL_TOOLS_ACACIACTL_INVOCATION_H
#define ACACIASILL_TOOLS_ACACIACTL_INVOCATION_H

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "acaciasill/support/command_line.h"
#include "acaciasill/support/time.h"

namespace acaciasill::ctl {

// The exit status where the platform or the daemon cannot be reached, or where it is not known
// whether the platform took a write.
inline constexpr int exit_platform_away = 3;

// The exit status of findings and conflicts.
inline constexpr int exit_findings = support::exit_failure;

// How results are printed.
enum class output_form { text, json };

// What the operator asked for.
struct invocation {
  std::string command;
  std::vector<std::string> arguments;
  output_form output = output_form::text;
  std::string platform_url;
  std::string daemon_url;
  // The longest time of the whole command.
  support::milliseconds timeout{30000};
  std::string revision;
  // Text that an earlier attempt used, or empty.
  std::string token;
  // The generation that must be in force, as it was given, or empty.
  std::string expected_generation;
};

// The name under which the program reports.
inline constexpr std::string_view program_name = "acaciactl";

// Prints an error by one line and returns the exit status of its code.
int fail(const absl::Status& status);

// A command; the arguments have been counted.
using command_function = int (*)(const invocation&);

int run_check(const invocation& asked);
int run_diff(const invocation& asked);
int run_publish(const invocation& asked);
int run_rollback(const invocation& asked);
int run_history(const invocation& asked);
int run_show(const invocation& asked);
int run_status(const invocation& asked);
int run_explain(const invocation& asked);

} // namespace acaciasill::ctl

#endif

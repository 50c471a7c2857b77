#include "acaciasill/support/command_line.h"

#include <getopt.h>

#include <algorithm>
#include <iostream>
#include <mutex>
#include <utility>

#include "absl/strings/str_cat.h"
#include "acaciasill/support/result_code.h"

namespace acaciasill::support {
namespace {

// getopt_long returns this value plus the index of the option. It is above all character codes, so
// that long options do not collide with one-letter names.
constexpr int first_option_value = 1000;
constexpr std::size_t help_column = 30;

std::vector<option_spec> with_standard_options(std::vector<option_spec> options) {
  options.push_back({"help", 'h', "", "print this help and exit"});
  options.push_back({"version", 'V', "", "print the version and exit"});
  return options;
}

std::string short_option_string(const std::vector<option_spec>& options) {
  // A leading colon makes getopt_long distinguish a missing value from an unknown option and
  // suppresses its error messages.
  std::string result = ":";
  for (const auto& option : options) {
    if (option.short_name == 0) {
      continue;
    }
    result += option.short_name;
    if (!option.value_name.empty()) {
      result += ':';
    }
  }
  return result;
}

std::vector<::option> long_option_table(const std::vector<option_spec>& options) {
  std::vector<::option> table;
  for (std::size_t i = 0; i < options.size(); ++i) {
    const int has_value = options[i].value_name.empty() ? no_argument : required_argument;
    table.push_back(
        {options[i].name.c_str(), has_value, nullptr, first_option_value + static_cast<int>(i)});
  }
  table.push_back({nullptr, 0, nullptr, 0});
  return table;
}

const option_spec* find_option(const std::vector<option_spec>& options, int value) {
  if (value >= first_option_value) {
    return &options[static_cast<std::size_t>(value - first_option_value)];
  }
  const auto found = std::find_if(options.begin(), options.end(), [value](const auto& option) {
    return option.short_name != 0 && option.short_name == value;
  });
  return found == options.end() ? nullptr : &*found;
}

absl::Status reject_argument(char** argv, int previous_index, bool value_missing) {
  const std::string argument = argv[std::max(previous_index, 1)];
  return make_error(
      result_code::bad_command_line,
      absl::StrCat(argument, value_missing ? " requires a value" : " is not a known option"));
}

bool is_bad_input(result_code code) {
  return code >= result_code::bad_command_line && code < result_code::bad_request;
}

} // namespace

command_line::command_line(std::vector<parsed_option> options, std::vector<std::string> positionals)
    : options_(std::move(options)), positionals_(std::move(positionals)) {}

bool command_line::has(std::string_view name) const {
  return std::any_of(options_.begin(), options_.end(),
                     [name](const parsed_option& option) { return option.name == name; });
}

std::optional<std::string> command_line::value(std::string_view name) const {
  const auto all = values(name);
  if (all.empty()) {
    return std::nullopt;
  }
  return all.back();
}

std::vector<std::string> command_line::values(std::string_view name) const {
  std::vector<std::string> result;
  for (const auto& option : options_) {
    if (option.name == name) {
      result.push_back(option.value);
    }
  }
  return result;
}

absl::StatusOr<command_line> parse_command_line(int argc, char** argv,
                                                const std::vector<option_spec>& options) {
  // getopt_long keeps its state in global variables.
  static std::mutex getopt_mutex;
  const std::lock_guard lock(getopt_mutex);
  const auto known = with_standard_options(options);
  const auto short_options = short_option_string(known);
  const auto long_options = long_option_table(known);
  std::vector<parsed_option> parsed_options;
  optind = 0; // Resets the parser in glibc.
  opterr = 0;
  while (true) {
    const int previous_index = optind;
    const int value = getopt_long(argc, argv, short_options.c_str(), long_options.data(), nullptr);
    if (value == -1) {
      break;
    }
    const auto* option = value == '?' || value == ':' ? nullptr : find_option(known, value);
    if (option == nullptr) {
      return reject_argument(argv, std::max(optind - 1, previous_index), value == ':');
    }
    parsed_options.push_back({option->name, option->value_name.empty() ? "" : optarg});
  }
  return command_line(std::move(parsed_options),
                      std::vector<std::string>(argv + optind, argv + argc));
}

std::string format_usage(std::string_view program, std::string_view summary,
                         const std::vector<option_spec>& options) {
  std::string text = absl::StrCat("usage: ", std::string(program), " [options]\n",
                                  std::string(summary), "\n\noptions:\n");
  for (const auto& option : with_standard_options(options)) {
    std::string line = option.short_name == 0
                           ? std::string("      ")
                           : absl::StrCat("  -", std::string(1, option.short_name), ", ");
    absl::StrAppend(&line, "--", option.name);
    if (!option.value_name.empty()) {
      absl::StrAppend(&line, " ", option.value_name);
    }
    line.resize(std::max(line.size() + 1, help_column), ' ');
    absl::StrAppend(&text, line, option.help, "\n");
  }
  return text;
}

std::optional<command_line>
start_command_line(int argc, char** argv, const program_description& program, int& exit_status) {
  auto parsed = parse_command_line(argc, argv, program.options);
  if (!parsed.ok()) {
    exit_status = report_failure(program.name, parsed.status());
    return std::nullopt;
  }
  if (parsed->has("help")) {
    std::cout << format_usage(program.name, program.summary, program.options);
    exit_status = exit_success;
    return std::nullopt;
  }
  if (parsed->has("version")) {
    std::cout << program.name << ' ' << ACS_VERSION << '\n';
    exit_status = exit_success;
    return std::nullopt;
  }
  return *std::move(parsed);
}

int report_failure(std::string_view program, const absl::Status& status) {
  std::cerr << program << ": " << std::string(status.message()) << '\n';
  return is_bad_input(code_of(status)) ? exit_bad_input : exit_failure;
}

} // namespace acaciasill::support

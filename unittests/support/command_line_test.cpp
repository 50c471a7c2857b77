#include "acaciasill/support/command_line.h"

#include <catch2/catch.hpp>

#include "acaciasill/support/result_code.h"

using namespace acaciasill::support;

namespace {

const std::vector<option_spec> test_options = {
    {"settings", 's', "FILE", "the settings file"},
    {"json", 0, "", "log JSON lines"},
};

absl::StatusOr<command_line> parse(std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), "program");
  std::vector<char*> argv;
  for (auto& argument : arguments) {
    argv.push_back(argument.data());
  }
  argv.push_back(nullptr);
  return parse_command_line(static_cast<int>(arguments.size()), argv.data(), test_options);
}

} // namespace

TEST_CASE("options, flags and positional arguments are parsed") {
  const auto parsed = parse({"check", "--settings", "a", "-s", "b", "--json", "folder"});
  REQUIRE(parsed.ok());
  CHECK(parsed->has("json"));
  CHECK_FALSE(parsed->has("help"));
  CHECK(parsed->value("settings") == "b");
  CHECK(parsed->values("settings") == std::vector<std::string>{"a", "b"});
  CHECK(parsed->positionals() == std::vector<std::string>{"check", "folder"});
}

TEST_CASE("the error for a bad command line names the argument") {
  const auto unknown = parse({"--json", "--wrong"});
  CHECK(code_of(unknown.status()) == result_code::bad_command_line);
  CHECK(std::string(unknown.status().message()) ==
        "ACS-1000 the command line is not valid: --wrong is not a known option");
  const auto missing = parse({"--settings"});
  CHECK(std::string(missing.status().message()) ==
        "ACS-1000 the command line is not valid: --settings requires a value");
}

TEST_CASE("the usage lists the options of the program and the standard ones") {
  const auto usage = format_usage("program", "Does a thing.", test_options);
  CHECK(usage.find("-s, --settings FILE") != std::string::npos);
  CHECK(usage.find("--version") != std::string::npos);
}

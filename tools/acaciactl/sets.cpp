#include "sets.h"

#include <filesystem>
#include <iostream>
#include <utility>

#include "absl/strings/numbers.h"
#include "acaciasill/model/configuration_set.h"
#include "acaciasill/support/result_code.h"
#include "daemon.h"
#include "output.h"

namespace acaciasill::ctl {

using support::result_code;

int fail(const absl::Status& status) {
  const int exit_status = support::report_failure(program_name, status);
  switch (support::code_of(status)) {
  case result_code::platform_unavailable:
  case result_code::platform_unknown:
  case result_code::platform_corrupt:
  case result_code::peer_unreachable:
    return exit_unreachable;
  default:
    return exit_status;
  }
}

namespace {

void print_finding_list(const invocation& options, const std::vector<model::finding>& findings) {
  if (options.output == output_form::text) {
    return model::print_findings(findings);
  }
  auto list = json::array();
  for (const auto& finding : findings) {
    list.push_back(to_json(finding));
  }
  print_json(std::cout, {{"ok", false}, {"findings", std::move(list)}});
}

} // namespace

std::optional<model::configuration> load_valid_set(const invocation& options,
                                                   const std::string& directory, int& exit_status) {
  if (!std::filesystem::is_directory(directory)) {
    exit_status = fail(
        support::make_error(result_code::file_not_readable, directory + " is not a directory"));
    return std::nullopt;
  }
  std::vector<model::finding> findings;
  auto loaded = model::load_directory(directory, findings);
  if (!options.daemon_url.empty()) {
    const auto in_use = find_missing_names(options, loaded.set);
    if (!in_use.ok()) {
      exit_status = fail(in_use.status());
      return std::nullopt;
    }
    findings.insert(findings.end(), in_use->begin(), in_use->end());
  }
  if (findings.empty()) {
    return std::move(loaded.set);
  }
  exit_status = exit_findings;
  print_finding_list(options, findings);
  return std::nullopt;
}

absl::StatusOr<model::configuration> fetch_set(platform_session& session,
                                               const control::configuration_head& head) {
  model::configuration set;
  if (head.generation == 0) {
    return set;
  }
  const auto bytes = session.read_object(head.digest);
  if (!bytes.ok()) {
    return bytes.status();
  }
  auto parsed = model::parse_set(*bytes);
  if (!parsed.ok()) {
    return support::make_error(result_code::platform_corrupt,
                               std::string(parsed.status().message()));
  }
  parsed->generation = head.generation;
  parsed->source_revision = head.source_revision;
  return parsed;
}

absl::Status check_platform_url(const invocation& options) {
  if (!options.platform_url.empty()) {
    return absl::OkStatus();
  }
  return support::make_error(result_code::bad_command_line, "missing option: --platform URL");
}

absl::StatusOr<std::uint64_t> parse_generation(const std::string& text) {
  std::uint64_t generation = 0;
  if (!absl::SimpleAtoi(text, &generation)) {
    return support::make_error(result_code::bad_command_line, text + " is not a whole number");
  }
  return generation;
}

} // namespace acaciasill::ctl

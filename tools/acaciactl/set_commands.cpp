#include <iostream>

#include "absl/strings/str_cat.h"
#include "acaciasill/model/configuration_set.h"
#include "acaciasill/support/hash.h"
#include "invocation.h"
#include "output.h"
#include "sets.h"

namespace acaciasill::ctl {
namespace {

// Formats a change for text output: "+" for added, "-" for removed, "~" for changed objects.
std::string describe_change(const model::object_change& change) {
  const std::string title =
      absl::StrCat(std::string(model::kind_name(change.kind)), " ", change.name);
  if (!change.before) {
    return absl::StrCat("+ ", title, "\n");
  }
  if (!change.after) {
    return absl::StrCat("- ", title, "\n");
  }
  std::string text = absl::StrCat("~ ", title, "\n");
  for (const auto& field : change.fields) {
    absl::StrAppend(&text, "    ", field.key, ": ", field.before, " -> ", field.after, "\n");
  }
  return text;
}

int print_difference(const invocation& options, const model::configuration& before,
                     const model::configuration& after) {
  const auto changes = model::difference(before, after);
  if (options.output == output_form::json) {
    auto list = json::array();
    for (const auto& change : changes) {
      list.push_back(to_json(change));
    }
    print_json(std::cout, {{"generation", before.generation}, {"changes", std::move(list)}});
    return support::exit_success;
  }
  for (const auto& change : changes) {
    std::cout << describe_change(change);
  }
  if (changes.empty()) {
    std::cout << "no difference\n";
  }
  return support::exit_success;
}

} // namespace

int run_check(const invocation& options) {
  int exit_status = support::exit_success;
  const auto set = load_valid_set(options, options.arguments[0], exit_status);
  if (!set) {
    return exit_status;
  }
  const auto digest = support::sha256_hex(model::serialise(*set));
  if (options.output == output_form::json) {
    print_json(std::cout, {{"ok", true}, {"digest", digest}, {"findings", json::array()}});
    return support::exit_success;
  }
  std::cout << options.arguments[0] << ": valid: " << set->services.size() << " services, "
            << set->organisations.size() << " organisations, " << set->routes.size()
            << " routes, digest " << digest << '\n';
  return support::exit_success;
}

int run_diff(const invocation& options) {
  int exit_status = support::exit_success;
  const auto first = load_valid_set(options, options.arguments[0], exit_status);
  if (!first) {
    return exit_status;
  }
  if (options.arguments.size() == 2) {
    const auto second = load_valid_set(options, options.arguments[1], exit_status);
    return second ? print_difference(options, *first, *second) : exit_status;
  }
  if (const auto status = check_platform_url(options); !status.ok()) {
    return fail(status);
  }
  platform_session session(options.platform_url, options.timeout);
  const auto head = session.read_head();
  if (!head.ok()) {
    return fail(head.status());
  }
  const auto in_force = fetch_set(session, *head);
  if (!in_force.ok()) {
    return fail(in_force.status());
  }
  return print_difference(options, *in_force, *first);
}

} // namespace acaciasill::ctl

#include <iostream>

#include "absl/strings/str_cat.h"
#include "acaciasill/model/configuration_set.h"
#include "acaciasill/model/snapshot.h"
#include "acaciasill/support/result_code.h"
#include "invocation.h"
#include "output.h"
#include "sets.h"

namespace acaciasill::ctl {
namespace {

using support::result_code;

constexpr std::size_t max_revision_bytes = 256;
constexpr std::size_t max_token_bytes = 128;

// Builds a publication plan from the options; the caller adds the set's bytes.
absl::StatusOr<control::publication_plan> make_plan(const invocation& options) {
  control::publication_plan plan;
  if (options.revision.size() > max_revision_bytes || options.token.size() > max_token_bytes) {
    return support::make_error(result_code::bad_command_line, "--revision or --token is too long");
  }
  plan.source_revision = options.revision;
  plan.reuses_token = !options.token.empty();
  plan.token = plan.reuses_token ? options.token : platform_session::make_token();
  if (!options.expected_generation.empty()) {
    const auto generation = parse_generation(options.expected_generation);
    if (!generation.ok()) {
      return generation.status();
    }
    plan.expected_generation = *generation;
  }
  return plan;
}

int print_result(const invocation& options, const control::publication_plan& plan,
                 const control::publication_finished& result) {
  if (options.output == output_form::json) {
    print_json(std::cout, {{"ok", result.code == result_code::ok},
                           {"code", support::format_code(result.code)},
                           {"changed", result.changed},
                           {"token", plan.token},
                           {"head", to_json(result.head)}});
  }
  if (result.code != result_code::ok) {
    return fail(support::make_error(result.code, result.detail));
  }
  if (options.output == output_form::text) {
    std::cout << (result.changed ? "published as generation " : "already in force as generation ")
              << result.head.generation << ", digest " << result.head.digest << '\n';
  }
  return support::exit_success;
}

} // namespace

int run_publish(const invocation& options) {
  if (const auto status = check_platform_url(options); !status.ok()) {
    return fail(status);
  }
  auto plan = make_plan(options);
  if (!plan.ok()) {
    return fail(plan.status());
  }
  int exit_status = support::exit_success;
  const auto set = load_valid_set(options, options.arguments[0], exit_status);
  if (!set) {
    return exit_status;
  }
  plan->bytes = model::serialise(*set);
  platform_session session(options.platform_url, options.timeout);
  return print_result(options, *plan, session.publish(*plan));
}

int run_rollback(const invocation& options) {
  if (const auto status = check_platform_url(options); !status.ok()) {
    return fail(status);
  }
  auto plan = make_plan(options);
  if (!plan.ok()) {
    return fail(plan.status());
  }
  const auto generation = parse_generation(options.arguments[0]);
  if (!generation.ok()) {
    return fail(generation.status());
  }
  platform_session session(options.platform_url, options.timeout);
  const auto head = session.read_generation(*generation);
  if (!head.ok()) {
    return fail(head.status());
  }
  const auto set = fetch_set(session, *head);
  if (!set.ok()) {
    return fail(set.status());
  }
  // Validation rules may have become stricter since the generation was published.
  if (const auto compiled = model::compile_snapshot(*set); !compiled.ok()) {
    return fail(compiled.status());
  }
  plan->bytes = model::serialise(*set);
  if (plan->source_revision.empty()) {
    plan->source_revision = head->source_revision;
  }
  return print_result(options, *plan, session.publish(*plan));
}

} // namespace acaciasill::ctl

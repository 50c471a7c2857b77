#include <algorithm>
#include <iostream>

#include "absl/strings/str_cat.h"
#include "acaciasill/model/configuration_set.h"
#include "acaciasill/model/key_index.h"
#include "acaciasill/support/result_code.h"
#include "invocation.h"
#include "output.h"
#include "sets.h"

namespace acaciasill::ctl {
namespace {

constexpr std::uint64_t default_history_count = 20;
constexpr std::uint64_t max_history_count = 10000;
constexpr std::size_t shown_digest_characters = 12;

} // namespace

int run_history(const invocation& options) {
  if (const auto status = check_platform_url(options); !status.ok()) {
    return fail(status);
  }
  std::uint64_t count = default_history_count;
  if (!options.arguments.empty()) {
    const auto parsed = parse_generation(options.arguments[0]);
    if (!parsed.ok()) {
      return fail(parsed.status());
    }
    count = std::min(*parsed, max_history_count);
  }
  platform_session session(options.platform_url, options.timeout);
  const auto heads = session.read_history(count);
  if (!heads.ok()) {
    return fail(heads.status());
  }
  if (options.output == output_form::json) {
    auto list = json::array();
    for (const auto& head : *heads) {
      list.push_back(to_json(head));
    }
    print_json(std::cout, list);
    return support::exit_success;
  }
  table rows = {{"generation", "digest", "revision", "token"}};
  for (const auto& head : *heads) {
    rows.push_back({absl::StrCat(head.generation), head.digest.substr(0, shown_digest_characters),
                    head.source_revision.empty() ? "-" : head.source_revision,
                    head.publication_token});
  }
  print_table(std::cout, rows);
  return support::exit_success;
}

int run_show(const invocation& options) {
  if (const auto status = check_platform_url(options); !status.ok()) {
    return fail(status);
  }
  platform_session session(options.platform_url, options.timeout);
  auto head = session.read_head();
  if (!options.arguments.empty()) {
    const auto generation = parse_generation(options.arguments[0]);
    if (!generation.ok()) {
      return fail(generation.status());
    }
    head = session.read_generation(*generation);
  }
  if (!head.ok()) {
    return fail(head.status());
  }
  if (head->generation == 0) {
    return fail(support::make_error(support::result_code::platform_not_found,
                                    "no configuration has been published"));
  }
  auto set = fetch_set(session, *head);
  if (!set.ok()) {
    return fail(set.status());
  }
  model::mask_keys(*set);
  if (options.output == output_form::json) {
    print_json(std::cout, {{"head", to_json(*head)}, {"set", json::parse(model::serialise(*set))}});
    return support::exit_success;
  }
  std::cout << "# generation " << head->generation << ", digest " << head->digest << ", revision "
            << (head->source_revision.empty() ? "-" : head->source_revision) << '\n'
            << model::to_yaml(*set);
  return support::exit_success;
}

} // namespace acaciasill::ctl

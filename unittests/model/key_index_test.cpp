#include "acaciasill/model/key_index.h"

#include <algorithm>
#include <map>

#include <catch2/catch.hpp>

#include "acaciasill/model/configuration_set.h"
#include "acaciasill/model/validation.h"

using namespace acaciasill;
using support::result_code;

namespace {

model::organisation organisation_with_keys(const std::string& name,
                                           const std::vector<std::string>& keys) {
  model::organisation result;
  result.name = name;
  result.keys = keys;
  return result;
}

std::vector<model::finding> find_key_faults(const model::configuration& set) {
  auto findings = model::validate(set, {}, "set");
  std::erase_if(findings, [](const auto& finding) { return finding.key != "keys"; });
  return findings;
}

} // namespace

TEST_CASE("a key is found only as it was given") {
  const model::key_index keys({organisation_with_keys("a", {"first-key", "second-key"}),
                               organisation_with_keys("b", {"third-key"})});
  CHECK(keys.find("first-key") == 0U);
  CHECK(keys.find("second-key") == 0U);
  CHECK(keys.find("third-key") == 1U);
  for (const std::string other :
       {"", "first", "first-key ", " first-key", "FIRST-KEY", "first-keyfirst-key"}) {
    CHECK_FALSE(keys.find(other).has_value());
  }
  CHECK_FALSE(keys.find(std::string(std::size_t{16} << 10U, 'k')).has_value());
  CHECK_FALSE(model::key_index().find("").has_value());
}

TEST_CASE("one of 100,000 keys is found") {
  std::vector<model::organisation> organisations;
  for (int index = 0; index < 50000; ++index) {
    const auto name = std::to_string(index);
    organisations.push_back(organisation_with_keys(name, {"k-" + name, "l-" + name}));
  }
  const model::key_index keys(organisations);
  CHECK(keys.find("k-0") == 0U);
  CHECK(keys.find("l-49999") == 49999U);
  CHECK_FALSE(keys.find("l-50000").has_value());
}

TEST_CASE("all faults of keys are found at once, and no finding shows a key") {
  model::configuration set;
  const std::string shared = "a-key-of-two-organisations";
  set.organisations = {organisation_with_keys("a", {shared, ""}),
                       organisation_with_keys("b", {shared, "with a blank inside it"}),
                       organisation_with_keys("c", {std::string(model::max_key_size + 1, 'k')})};
  const auto findings = find_key_faults(set);
  const auto count_of = [&](result_code code) {
    return std::count_if(findings.begin(), findings.end(),
                         [code](const auto& finding) { return finding.code == code; });
  };
  CHECK(count_of(result_code::key_in_use) == 1);
  CHECK(count_of(result_code::out_of_range) == 3);
  for (const auto& finding : findings) {
    CHECK(finding.text.find(shared) == std::string::npos);
    CHECK(finding.text.find("with a blank") == std::string::npos);
  }
}

TEST_CASE("a difference between sets shows that keys differ but no key") {
  model::configuration before;
  before.organisations = {organisation_with_keys("a", {"key-number-one-of-a"})};
  auto after = before;
  after.organisations.front().keys = {"key-number-two-of-a"};
  const auto changes = model::difference(before, after);
  REQUIRE(changes.size() == 1);
  REQUIRE(changes.front().fields.size() == 1);
  CHECK(changes.front().fields.front().key == "keys");
  CHECK(changes.front().fields.front().before.find("number") == std::string::npos);
  CHECK(changes.front().fields.front().after.find("number") == std::string::npos);
}

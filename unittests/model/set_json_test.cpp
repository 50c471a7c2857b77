#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "acaciasill/model/configuration_set.h"
#include "acaciasill/model/embedded_defaults.h"
#include "acaciasill/support/hash.h"
#include "acaciasill/support/result_code.h"

using namespace acaciasill::model;
using acaciasill::support::code_of;
using acaciasill::support::milliseconds;
using acaciasill::support::result_code;

namespace {

// Fills the fields of an object with random values within their ranges.
class random_fields {
public:
  void text(const char*, std::string& field, presence = {}) {
    field = *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
  }
  void flag(const char*, bool& field, presence = {}) { field = *rc::gen::arbitrary<bool>(); }
  void number(const char*, double& field, double min, double max) {
    const int step = *rc::gen::inRange(0, 1000001);
    field = min + (max - min) * step / 1000000.0;
  }
  void time_span(const char*, milliseconds& field, milliseconds min, milliseconds max) {
    field = milliseconds(*rc::gen::inRange(min.count(), max.count() + 1));
  }
  void text_list(const char*, std::vector<std::string>& field) {
    field = *rc::gen::container<std::vector<std::string>>(
        rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
  }
  template <typename Integer>
  void integer(const char*, Integer& field, std::int64_t min, std::int64_t max, presence = {}) {
    field = static_cast<Integer>(*rc::gen::inRange(min, max + 1));
  }
};

configuration random_set() {
  configuration set;
  random_fields fields;
  for_each_kind(set, [&](object_kind, auto& objects) {
    objects.resize(*rc::gen::inRange<std::size_t>(0, 4));
    for (auto& object : objects) {
      visit_fields(fields, object);
    }
  });
  return set;
}

} // namespace

TEST_CASE("a set survives a round trip through canonical JSON") {
  CHECK(rc::check("round trip", [] {
    auto set = random_set();
    const auto text = serialise(set);
    const auto parsed = parse_set(text);
    RC_ASSERT(parsed.ok());
    normalise(set);
    RC_ASSERT(*parsed == set);
    RC_ASSERT(serialise(*parsed) == text);
  }));
}

TEST_CASE("a set survives a round trip through YAML") {
  loaded_set loaded;
  std::vector<finding> findings;
  load_text("round-trip.yaml", to_yaml(embedded_defaults()), loaded, findings);
  CHECK(findings.empty());
  CHECK(loaded.set == embedded_defaults());
}

TEST_CASE("canonical JSON depends only on the content of the objects") {
  auto set = embedded_defaults();
  const auto text = serialise(set);
  set.generation = 9;
  set.source_revision = "abc";
  std::swap(set.services[0], set.services[2]);
  CHECK(serialise(set) == text);
  set.organisations[0].weight = 6;
  CHECK(serialise(set) != text);
}

TEST_CASE("invalid canonical JSON is rejected") {
  const auto text = serialise(embedded_defaults());
  CHECK(code_of(parse_set("").status()) == result_code::bad_yaml);
  CHECK(code_of(parse_set("[]").status()) == result_code::bad_yaml);
  CHECK(code_of(parse_set(text.substr(0, text.size() - 1)).status()) == result_code::bad_yaml);
  const auto changed = [&](const std::string& from, const std::string& to) {
    auto other = text;
    REQUIRE(other.find(from) != std::string::npos);
    other.replace(other.find(from), from.size(), to);
    return code_of(parse_set(other).status());
  };
  CHECK(changed("\"format\":3", "\"format\":4") == result_code::bad_yaml);
  CHECK(changed("\"slots\":100", "\"slots\":0") == result_code::out_of_range);
  CHECK(changed("\"slots\":100", "\"slots\":18446744073709551615") == result_code::out_of_range);
  CHECK(changed("\"slots\":100", "\"slots\":\"x\"") == result_code::wrong_type);
  CHECK(changed("\"slots\":100,", "") == result_code::missing_key);
  CHECK(changed("\"slots\":100", "\"slots\":100,\"more\":1") == result_code::unknown_key);
  CHECK(changed("\"format\":3", "\"format\":3,\"more\":1") == result_code::unknown_key);
}

TEST_CASE("the difference of two sets lists changed objects and fields") {
  const auto before = embedded_defaults();
  auto after = before;
  CHECK(difference(before, after).empty());
  after.organisations[0].weight = 6;
  after.routes.pop_back();
  after.data_centres.push_back({"west", "local"});
  const auto changes = difference(before, after);
  REQUIRE(changes.size() == 3);
  CHECK((changes[0].name == "west" && !changes[0].before && changes[0].after));
  CHECK(changes[1].fields == std::vector<field_change>{{"weight", "5.0", "6.0"}});
  CHECK((changes[2].kind == object_kind::route && changes[2].before && !changes[2].after));
}

#include "acaciasill/control/claims_issued.h"

#include <catch2/catch.hpp>

namespace {

using namespace acaciasill;
using namespace acaciasill::control;
using support::result_code;

constexpr support::time_point start{support::seconds(100)};

issued_keys make_keys(std::uint64_t nonce) {
  issued_keys keys;
  keys.settings.call_address = "127.0.0.1:7001";
  keys.settings.start_nonce = nonce;
  return keys;
}

} // namespace

TEST_CASE("issued keys round-trip through text, and other keys are not parsed", "[control]") {
  const issued_key key{"[::1]:7001", 0xabc, 17};
  CHECK(parse_issued_key(format_issued_key(key)) == key);
  for (const auto* text : {"", "acs1", "acs1_a_1", "acs1__1_1", "acs1_a_x_1", "acs1_a_1_0",
                           "acs1_a_1_1_1", "my key", "acs2_a_1_1"}) {
    CHECK_FALSE(parse_issued_key(text));
  }
}

TEST_CASE("a call with an issued key executes once, and its outcome can be queried", "[control]") {
  auto keys = make_keys(1);
  const auto key = parse_issued_key(issue_key(keys, "kwaeso", start).value()).value();
  const auto begin = [&] { return start_issued_call(keys, key, "kwaeso", start); };
  CHECK(look_up_issued_key(keys, key, "kwaeso", start).code == result_code::ok);
  CHECK(begin().code == result_code::ok);
  CHECK(begin().code == result_code::duplicate_in_progress);
  SECTION("completed") {
    record_issued_outcome(keys, key, run_outcome::completed);
    CHECK(begin() == issued_key_result{result_code::key_already_used, run_outcome::completed});
    record_issued_outcome(keys, key, run_outcome::not_run);
    CHECK(begin() == issued_key_result{result_code::key_already_used, run_outcome::completed});
  }
  SECTION("not run") {
    record_issued_outcome(keys, key, run_outcome::not_run);
    CHECK(begin().code == result_code::ok);
    CHECK(begin().code == result_code::duplicate_in_progress);
  }
}

TEST_CASE("a key of another process has an unknown outcome and is not executed", "[control]") {
  auto before = make_keys(1);
  const auto key = parse_issued_key(issue_key(before, "kwaeso", start).value()).value();
  auto after = make_keys(2);
  issue_key(after, "kwaeso", start);
  CHECK(start_issued_call(after, key, "kwaeso", start).code == result_code::outcome_unknown);
}

TEST_CASE("a key that was not issued to the organisation is refused", "[control]") {
  auto keys = make_keys(1);
  const auto key = parse_issued_key(issue_key(keys, "kwaeso", start).value()).value();
  CHECK(start_issued_call(keys, key, "moreton", start).code == result_code::bad_request);
  const issued_key unissued_key{key.call_address, key.start_nonce, key.number + 1};
  CHECK(start_issued_call(keys, unissued_key, "kwaeso", start).code == result_code::bad_request);
}

TEST_CASE("issued keys are limited in number and cannot be used after they expire", "[control]") {
  auto keys = make_keys(1);
  keys.settings.max_keys = 2;
  const auto first = parse_issued_key(issue_key(keys, "kwaeso", start).value()).value();
  const auto second = parse_issued_key(issue_key(keys, "kwaeso", start).value()).value();
  CHECK_FALSE(issue_key(keys, "kwaeso", start));
  CHECK(start_issued_call(keys, first, "kwaeso", start).code == result_code::ok);
  const auto late = start + keys.settings.lifetime;
  CHECK(start_issued_call(keys, second, "kwaeso", late).code == result_code::outcome_unknown);
  // A key in use is kept beyond its lifetime.
  CHECK_FALSE(issue_key(keys, "kwaeso", late));
  record_issued_outcome(keys, first, run_outcome::completed);
  CHECK(issue_key(keys, "kwaeso", late));
  CHECK(start_issued_call(keys, first, "kwaeso", late).code == result_code::outcome_unknown);
}

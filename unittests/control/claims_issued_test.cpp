#include "acaciasill/control/claims_issued.h"

#include <catch2/catch.hpp>

namespace {

using namespace acaciasill;
using namespace acaciasill::control;
using support::result_code;

constexpr support::time_point start{support::seconds(100)};

issued_keys keys_of(std::uint64_t nonce) {
  issued_keys keys;
  keys.settings.call_address = "127.0.0.1:7001";
  keys.settings.start_nonce = nonce;
  return keys;
}

} // namespace

TEST_CASE("issued keys come back from their text, and callers' own do not", "[control]") {
  const issued_key key{"[::1]:7001", 0xabc, 17};
  CHECK(parse_issued_key(format_issued_key(key)) == key);
  for (const auto* text : {"", "acs1", "acs1_a_1", "acs1__1_1", "acs1_a_x_1", "acs1_a_1_0",
                           "acs1_a_1_1_1", "my key", "acs2_a_1_1"}) {
    CHECK_FALSE(parse_issued_key(text));
  }
}

TEST_CASE("an issued key runs once, and its outcome can be asked for", "[control]") {
  auto keys = keys_of(1);
  const auto key = parse_issued_key(issue_key(keys, "kwaeso", start).value()).value();
  const auto begin = [&] { return begin_issued(keys, key, "kwaeso", start); };
  CHECK(ask_issued(keys, key, "kwaeso", start).code == result_code::ok);
  CHECK(begin().code == result_code::ok);
  CHECK(begin().code == result_code::duplicate_in_progress);
  SECTION("completed") {
    end_issued(keys, key, run_outcome::completed);
    CHECK(begin() == issued_verdict{result_code::key_already_used, run_outcome::completed});
    end_issued(keys, key, run_outcome::not_run);
    CHECK(begin() == issued_verdict{result_code::key_already_used, run_outcome::completed});
  }
  SECTION("not run") {
    end_issued(keys, key, run_outcome::not_run);
    CHECK(begin().code == result_code::ok);
    CHECK(begin().code == result_code::duplicate_in_progress);
  }
}

TEST_CASE("a key of another life is unknown and never run", "[control]") {
  auto before = keys_of(1);
  const auto key = parse_issued_key(issue_key(before, "kwaeso", start).value()).value();
  auto after = keys_of(2);
  issue_key(after, "kwaeso", start);
  CHECK(begin_issued(after, key, "kwaeso", start).code == result_code::outcome_unknown);
}

TEST_CASE("a key that was not issued to the organisation is refused", "[control]") {
  auto keys = keys_of(1);
  const auto key = parse_issued_key(issue_key(keys, "kwaeso", start).value()).value();
  CHECK(begin_issued(keys, key, "moreton", start).code == result_code::bad_request);
  const issued_key made_up{key.call_address, key.start_nonce, key.number + 1};
  CHECK(begin_issued(keys, made_up, "kwaeso", start).code == result_code::bad_request);
}

TEST_CASE("issued keys expire, are bounded, and are not run after that", "[control]") {
  auto keys = keys_of(1);
  keys.settings.max_keys = 2;
  const auto first = parse_issued_key(issue_key(keys, "kwaeso", start).value()).value();
  const auto second = parse_issued_key(issue_key(keys, "kwaeso", start).value()).value();
  CHECK_FALSE(issue_key(keys, "kwaeso", start));
  CHECK(begin_issued(keys, first, "kwaeso", start).code == result_code::ok);
  const auto late = start + keys.settings.lifetime;
  CHECK(begin_issued(keys, second, "kwaeso", late).code == result_code::outcome_unknown);
  // A key that runs is kept however long that takes.
  CHECK_FALSE(issue_key(keys, "kwaeso", late));
  end_issued(keys, first, run_outcome::completed);
  CHECK(issue_key(keys, "kwaeso", late));
  CHECK(begin_issued(keys, first, "kwaeso", late).code == result_code::outcome_unknown);
}

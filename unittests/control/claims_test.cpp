#include "acaciasill/control/claims.h"

#include <catch2/catch.hpp>

#include "control/claims_fixture.h"

namespace {

using namespace acaciasill;
using namespace acaciasill::control;
using namespace acaciasill::control::tests;
using support::result_code;

constexpr time_point start{support::seconds(100)};
constexpr milliseconds call_time{1000};

// Two daemons over one table, with a clock that the test moves.
struct two_daemons {
  fake_table table;
  claiming_daemon one{"one-1"};
  claiming_daemon other{"other-1"};
  time_point now = start;

  void want(claiming_daemon& daemon, std::uint64_t call, const std::string& key) {
    daemon.give(claim_wanted{call, "kwaeso", key, now + call_time}, now);
  }
  // Moves the clock, fires the timers that are due, and lets the table answer.
  void pass(milliseconds span) {
    now += span;
    for (auto* daemon : {&one, &other}) {
      fire(*daemon);
      daemon->serve_all(table, now);
    }
  }
  // Moves the clock past the window without letting the table answer.
  void close_window(claiming_daemon& daemon) {
    now += milliseconds(2);
    fire(daemon);
  }
  void fire(claiming_daemon& daemon) const {
    if (daemon.timer <= now) {
      daemon.fire(now);
    }
  }
  void run(claiming_daemon& daemon, std::uint64_t call, run_outcome outcome) {
    REQUIRE(begin_run(*daemon.state, call, now));
    daemon.give(run_ended{call, outcome}, now);
    pass(milliseconds(100));
  }
  claim_row row(const std::string& key) const {
    return parse_claim_row(table.rows.at(claim_row_key("kwaeso", key)).value).value();
  }
};

} // namespace

TEST_CASE("rows of claims come back from their text", "[control]") {
  CHECK(claim_row_key("kwaeso", "a b/c").ends_with("/kwaeso/a%20b%2fc"));
  CHECK(claim_row_key("a", "b/c") != claim_row_key("a/b", "c"));
  for (const auto& outcome : std::vector<std::optional<run_outcome>>{
           std::nullopt, run_outcome::completed, run_outcome::failed, run_outcome::unknown,
           run_outcome::not_run}) {
    const claim_row row{"one-1", "7", outcome};
    CHECK(parse_claim_row(format_claim_row(row)) == row);
  }
  for (const auto* text : {"", "claim-1 claimed one", "claim-2 claimed one 7", "claim-1 lost one 7",
                           "claim-1 claimed  7", "claim-1 claimed one 7 8"}) {
    CHECK_FALSE(parse_claim_row(text));
  }
}

TEST_CASE("a call is granted once its row is written, and begins once", "[control]") {
  two_daemons test;
  test.want(test.one, 1, "key");
  CHECK(test.one.requests.empty());
  CHECK_FALSE(begin_run(*test.one.state, 1, test.now));
  test.pass(milliseconds(2));
  CHECK(test.one.granted.contains(1));
  CHECK(test.row("key") == claim_row{"one-1", "1", std::nullopt});
  CHECK(begin_run(*test.one.state, 1, test.now));
  CHECK_FALSE(begin_run(*test.one.state, 1, test.now));
}

TEST_CASE("many claims go into one write of bounded size", "[control]") {
  two_daemons test;
  for (std::uint64_t call = 1; call <= 100; ++call) {
    test.want(test.one, call, "key-" + std::to_string(call));
  }
  test.pass(milliseconds(2));
  CHECK(test.one.granted.size() == 100);
  CHECK(describe_claims(*test.one.state).writes == 2);
  CHECK(describe_claims(*test.one.state).written_rows == 100);
}

TEST_CASE("the end of a run goes along with the next claims", "[control]") {
  two_daemons test;
  test.want(test.one, 1, "a");
  test.pass(milliseconds(2));
  REQUIRE(begin_run(*test.one.state, 1, test.now));
  test.one.give(run_ended{1, run_outcome::completed}, test.now);
  test.pass(milliseconds(50));
  CHECK(test.one.settled.empty());
  test.want(test.one, 2, "b");
  test.pass(milliseconds(2));
  CHECK(test.one.settled.at(1));
  CHECK(test.one.granted.contains(2));
  CHECK(describe_claims(*test.one.state).writes == 2);
}

TEST_CASE("one key in use holds nobody else of its group up", "[control]") {
  two_daemons test;
  test.want(test.other, 1, "key-7");
  test.pass(milliseconds(2));
  test.run(test.other, 1, run_outcome::completed);
  for (std::uint64_t call = 1; call <= 20; ++call) {
    test.want(test.one, call, "key-" + std::to_string(call));
  }
  test.pass(milliseconds(2));
  CHECK(test.one.granted.size() == 19);
  REQUIRE(test.one.refused.size() == 1);
  CHECK(test.one.refused.at(7) ==
        claim_refused{7, result_code::key_already_used, run_outcome::completed, "other-1"});
}

TEST_CASE("of two daemons with one key a single one is granted", "[control]") {
  two_daemons test;
  test.want(test.one, 1, "key");
  test.want(test.other, 2, "key");
  test.pass(milliseconds(2));
  CHECK(test.one.granted.size() + test.other.granted.size() == 1);
  CHECK(test.other.refused.at(2) ==
        claim_refused{2, result_code::duplicate_in_progress, std::nullopt, "one-1"});
}

TEST_CASE("a duplicate at the same daemon is refused without the table", "[control]") {
  two_daemons test;
  test.want(test.one, 1, "key");
  test.want(test.one, 2, "key");
  CHECK(test.one.refused.at(2).code == result_code::duplicate_in_progress);
  test.pass(milliseconds(2));
  test.run(test.one, 1, run_outcome::failed);
  const auto before = describe_claims(*test.one.state);
  test.want(test.one, 3, "key");
  CHECK(test.one.refused.at(3).code == result_code::key_already_used);
  CHECK(test.one.refused.at(3).earlier == run_outcome::failed);
  CHECK(describe_claims(*test.one.state) == before);
}

TEST_CASE("a write whose answer was lost is settled by reading back", "[control]") {
  two_daemons test;
  test.want(test.one, 1, "a");
  test.want(test.one, 2, "b");
  test.close_window(test.one);
  const bool took_effect = GENERATE(true, false);
  if (took_effect) {
    test.table.serve(test.one.requests.front());
  }
  test.one.lose_next(platform_end::unknown, test.now);
  CHECK(test.one.granted.empty());
  for (int turn = 0; turn < 10; ++turn) {
    test.pass(milliseconds(20));
  }
  CHECK(test.one.granted.size() == 2);
  CHECK(test.row("a").token == "1");
  CHECK(test.row("b").token == "2");
}

TEST_CASE("a write that arrives late, after it was read back and tried again, grants once",
          "[control]") {
  two_daemons test;
  test.want(test.one, 1, "a");
  test.close_window(test.one);
  const auto late = test.one.lose_next(platform_end::unknown, test.now);
  test.one.serve_all(test.table, test.now);
  CHECK(test.one.granted.empty());
  test.table.serve(late);
  for (int turn = 0; turn < 5; ++turn) {
    test.pass(milliseconds(20));
  }
  CHECK(test.one.granted.size() == 1);
  CHECK(test.table.rows.begin()->second.version == 1);
}

TEST_CASE("with the platform away a call is not run, and its key is given back later",
          "[control]") {
  two_daemons test;
  test.want(test.one, 1, "key");
  test.close_window(test.one);
  const auto late = test.one.lose_next(platform_end::unknown, test.now);
  while (test.one.refused.empty()) {
    test.now += milliseconds(100);
    test.fire(test.one);
    while (!test.one.requests.empty()) {
      test.one.lose_next(platform_end::failed_before, test.now);
    }
  }
  CHECK(test.one.refused.at(1).code == result_code::claim_unavailable);
  CHECK(test.now >= start + call_time);
  CHECK_FALSE(begin_run(*test.one.state, 1, test.now));
  // The lost write arrives after all, and the platform comes back.
  test.table.serve(late);
  for (int turn = 0; turn < 40; ++turn) {
    test.pass(milliseconds(100));
  }
  CHECK(test.row("key").outcome == run_outcome::not_run);
  test.want(test.other, 2, "key");
  test.pass(milliseconds(2));
  CHECK(test.other.granted.contains(2));
}

TEST_CASE("a claim that certainly took no effect leaves nothing behind", "[control]") {
  two_daemons test;
  test.want(test.one, 1, "key");
  test.close_window(test.one);
  test.one.lose_next(platform_end::failed_before, test.now);
  test.pass(call_time);
  CHECK(test.one.refused.at(1).code == result_code::claim_unavailable);
  CHECK(test.table.rows.empty());
  CHECK(describe_claims(*test.one.state).remembered == 0);
}

TEST_CASE("a key whose holder crashed is never run again", "[control]") {
  two_daemons test;
  test.want(test.one, 1, "key");
  test.pass(milliseconds(2));
  const bool has_begun = GENERATE(true, false);
  if (has_begun) {
    REQUIRE(begin_run(*test.one.state, 1, test.now));
  }
  test.one = claiming_daemon("one-2");
  test.pass(std::chrono::hours(24));
  test.want(test.one, 2, "key");
  test.want(test.other, 3, "key");
  test.pass(milliseconds(2));
  for (const auto& refusal : {test.one.refused.at(2), test.other.refused.at(3)}) {
    CHECK(refusal.code == result_code::duplicate_in_progress);
    CHECK(refusal.holder == "one-1");
  }
}

TEST_CASE("a holder that was paused past its deadline does not begin", "[control]") {
  two_daemons test;
  test.want(test.one, 1, "key");
  test.pass(milliseconds(2));
  test.now += call_time;
  CHECK_FALSE(begin_run(*test.one.state, 1, test.now));
  test.one.give(run_ended{1, run_outcome::not_run}, test.now);
  test.pass(milliseconds(2));
  CHECK(test.one.settled.at(1));
  test.want(test.other, 2, "key");
  test.pass(milliseconds(2));
  CHECK(test.other.granted.contains(2));
}

TEST_CASE("a pause while the claim is on its way gives the key back", "[control]") {
  two_daemons test;
  test.want(test.one, 1, "key");
  test.close_window(test.one);
  test.now += call_time;
  test.one.serve_all(test.table, test.now);
  CHECK(test.one.refused.at(1).code == result_code::deadline_exceeded);
  test.pass(milliseconds(2));
  CHECK(test.row("key").outcome == run_outcome::not_run);
}

TEST_CASE("a caller that goes away leaves its key free", "[control]") {
  two_daemons test;
  test.want(test.one, 1, "key");
  SECTION("while the row is written") {
    test.close_window(test.one);
    test.one.give(claim_abandoned{1}, test.now);
  }
  SECTION("after the grant") {
    test.pass(milliseconds(2));
    test.one.give(claim_abandoned{1}, test.now);
  }
  CHECK(test.one.refused.at(1).code == result_code::cancelled);
  CHECK_FALSE(begin_run(*test.one.state, 1, test.now));
  test.pass(milliseconds(2));
  test.pass(milliseconds(2));
  CHECK(test.row("key").outcome == run_outcome::not_run);
}

TEST_CASE("the outcome of a key can be asked for anywhere", "[control]") {
  two_daemons test;
  const auto ask = [&](claiming_daemon& daemon, std::uint64_t query) {
    daemon.give(key_asked{query, "kwaeso", "key"}, test.now);
    test.pass(milliseconds(2));
    return daemon.answers.at(query);
  };
  CHECK(ask(test.other, 1) == key_answer{1, true, std::nullopt});
  test.want(test.one, 1, "key");
  test.pass(milliseconds(2));
  CHECK(ask(test.other, 2) == key_answer{2, true, claim_row{"one-1", "1", std::nullopt}});
  test.run(test.one, 1, run_outcome::completed);
  const claim_row done{"one-1", "1", run_outcome::completed};
  CHECK(ask(test.other, 3) == key_answer{3, true, done});
  CHECK(ask(test.one, 4) == key_answer{4, true, done});
  test.other.give(key_asked{5, "kwaeso", "key"}, test.now);
  test.other.lose_next(platform_end::unknown, test.now);
  CHECK_FALSE(test.other.answers.at(5).known);
}

TEST_CASE("a lost answer and a conflict in one group are both settled", "[control]") {
  two_daemons test;
  test.want(test.one, 1, "mine");
  test.want(test.one, 2, "contested");
  test.close_window(test.one);
  const auto late = test.one.lose_next(platform_end::unknown, test.now);
  test.want(test.other, 3, "contested");
  test.close_window(test.other);
  test.other.serve_all(test.table, test.now);
  CHECK_FALSE(test.table.write(std::get<write_rows>(late.operation)));
  for (int turn = 0; turn < 10; ++turn) {
    test.pass(milliseconds(20));
  }
  CHECK(test.other.granted.contains(3));
  CHECK(test.one.granted == std::set<std::uint64_t>{1});
  CHECK(test.one.refused.at(2).code == result_code::duplicate_in_progress);
}

TEST_CASE("an end that cannot be recorded leaves the key claimed", "[control]") {
  two_daemons test;
  test.want(test.one, 1, "key");
  test.pass(milliseconds(2));
  REQUIRE(begin_run(*test.one.state, 1, test.now));
  test.one.give(run_ended{1, run_outcome::completed}, test.now);
  while (test.one.settled.empty()) {
    test.now += milliseconds(500);
    test.fire(test.one);
    while (!test.one.requests.empty()) {
      test.one.lose_next(platform_end::failed_before, test.now);
    }
  }
  CHECK_FALSE(test.one.settled.at(1));
  test.want(test.other, 2, "key");
  test.pass(milliseconds(2));
  CHECK(test.other.refused.at(2).code == result_code::duplicate_in_progress);
  test.want(test.one, 3, "key");
  CHECK(test.one.refused.at(3).earlier == run_outcome::completed);
}

TEST_CASE("a row that is none of this project's permits no run", "[control]") {
  two_daemons test;
  const auto row_key = claim_row_key("kwaeso", "key");
  test.table.rows[row_key] = {row_key, "something else", 4};
  test.want(test.one, 1, "key");
  test.pass(milliseconds(2));
  CHECK(test.one.refused.at(1).code == result_code::outcome_unknown);
}

TEST_CASE("a holder with spaces in its name writes rows that can be read", "[control]") {
  two_daemons test;
  test.one = claiming_daemon("the first one");
  test.want(test.one, 1, "key");
  test.pass(milliseconds(2));
  CHECK(test.row("key").holder == "the-first-one");
}

TEST_CASE("what is remembered and what is taken on is bounded", "[control]") {
  auto settings = claiming_daemon::settings_of("one-1");
  settings.max_remembered = 10;
  settings.max_calls = 20;
  two_daemons test;
  test.one = claiming_daemon(settings);
  for (std::uint64_t call = 1; call <= 25; ++call) {
    test.want(test.one, call, "key-" + std::to_string(call));
  }
  CHECK(test.one.refused.size() == 5);
  CHECK(test.one.refused.at(21).code == result_code::claim_unavailable);
  test.pass(milliseconds(2));
  for (std::uint64_t call = 1; call <= 20; ++call) {
    REQUIRE(begin_run(*test.one.state, call, test.now));
    test.one.give(run_ended{call, run_outcome::completed}, test.now);
  }
  test.pass(milliseconds(100));
  test.pass(milliseconds(2));
  test.one.fire(test.now);
  CHECK(describe_claims(*test.one.state).remembered == 10);
  // A key that was forgotten is still refused, by the table.
  test.want(test.one, 30, "key-1");
  test.pass(milliseconds(2));
  CHECK(test.one.refused.at(30).earlier == run_outcome::completed);
  test.now += settings.remember_for;
  test.one.fire(test.now);
  CHECK(describe_claims(*test.one.state).remembered == 0);
}

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

// Two daemons that share one table, with a manual clock.
struct two_daemon_test {
  fake_table table;
  claiming_daemon one{"one-1"};
  claiming_daemon other{"other-1"};
  time_point now = start;

  void request_claim(claiming_daemon& daemon, std::uint64_t call, const std::string& key) {
    daemon.handle_event(claim_requested{call, "kwaeso", key, now + call_time}, now);
  }
  // Advances the clock, fires the timers that are due, and lets the table answer.
  void advance_clock(milliseconds span) {
    now += span;
    for (auto* daemon : {&one, &other}) {
      fire_timer(*daemon);
      daemon->serve_all(table, now);
    }
  }
  // Advances the clock past the batch window without letting the table answer.
  void expire_batch_window(claiming_daemon& daemon) {
    now += milliseconds(2);
    fire_timer(daemon);
  }
  void fire_timer(claiming_daemon& daemon) const {
    if (daemon.timer <= now) {
      daemon.fire_timer(now);
    }
  }
  void run(claiming_daemon& daemon, std::uint64_t call, run_outcome outcome) {
    REQUIRE(begin_run(*daemon.state, call, now));
    daemon.handle_event(run_ended{call, outcome}, now);
    advance_clock(milliseconds(100));
  }
  claim_row row(const std::string& key) const {
    return parse_claim_row(table.rows.at(claim_row_key("kwaeso", key)).value).value();
  }
};

} // namespace

TEST_CASE("claim rows round-trip through text", "[control]") {
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

TEST_CASE("a call is granted once its row is written, and is sent at most once", "[control]") {
  two_daemon_test test;
  test.request_claim(test.one, 1, "key");
  CHECK(test.one.requests.empty());
  CHECK_FALSE(begin_run(*test.one.state, 1, test.now));
  test.advance_clock(milliseconds(2));
  CHECK(test.one.granted.contains(1));
  CHECK(test.row("key") == claim_row{"one-1", "1", std::nullopt});
  CHECK(begin_run(*test.one.state, 1, test.now));
  CHECK_FALSE(begin_run(*test.one.state, 1, test.now));
}

TEST_CASE("claims are batched into writes of limited size", "[control]") {
  two_daemon_test test;
  for (std::uint64_t call = 1; call <= 100; ++call) {
    test.request_claim(test.one, call, "key-" + std::to_string(call));
  }
  test.advance_clock(milliseconds(2));
  CHECK(test.one.granted.size() == 100);
  CHECK(get_claim_status(*test.one.state).writes == 2);
  CHECK(get_claim_status(*test.one.state).written_rows == 100);
}

TEST_CASE("an outcome is written in the same batch as the next claims", "[control]") {
  two_daemon_test test;
  test.request_claim(test.one, 1, "a");
  test.advance_clock(milliseconds(2));
  REQUIRE(begin_run(*test.one.state, 1, test.now));
  test.one.handle_event(run_ended{1, run_outcome::completed}, test.now);
  test.advance_clock(milliseconds(50));
  CHECK(test.one.settled.empty());
  test.request_claim(test.one, 2, "b");
  test.advance_clock(milliseconds(2));
  CHECK(test.one.settled.at(1));
  CHECK(test.one.granted.contains(2));
  CHECK(get_claim_status(*test.one.state).writes == 2);
}

TEST_CASE("a conflict on one key does not delay the others of its batch", "[control]") {
  two_daemon_test test;
  test.request_claim(test.other, 1, "key-7");
  test.advance_clock(milliseconds(2));
  test.run(test.other, 1, run_outcome::completed);
  for (std::uint64_t call = 1; call <= 20; ++call) {
    test.request_claim(test.one, call, "key-" + std::to_string(call));
  }
  test.advance_clock(milliseconds(2));
  CHECK(test.one.granted.size() == 19);
  REQUIRE(test.one.refused.size() == 1);
  CHECK(test.one.refused.at(7) ==
        claim_refused{7, result_code::key_already_used, run_outcome::completed, "other-1"});
}

TEST_CASE("only one of two daemons is granted the same key", "[control]") {
  two_daemon_test test;
  test.request_claim(test.one, 1, "key");
  test.request_claim(test.other, 2, "key");
  test.advance_clock(milliseconds(2));
  CHECK(test.one.granted.size() + test.other.granted.size() == 1);
  CHECK(test.other.refused.at(2) ==
        claim_refused{2, result_code::duplicate_in_progress, std::nullopt, "one-1"});
}

TEST_CASE("a duplicate at the same daemon is refused without a request to the table", "[control]") {
  two_daemon_test test;
  test.request_claim(test.one, 1, "key");
  test.request_claim(test.one, 2, "key");
  CHECK(test.one.refused.at(2).code == result_code::duplicate_in_progress);
  test.advance_clock(milliseconds(2));
  test.run(test.one, 1, run_outcome::failed);
  const auto before = get_claim_status(*test.one.state);
  test.request_claim(test.one, 3, "key");
  CHECK(test.one.refused.at(3).code == result_code::key_already_used);
  CHECK(test.one.refused.at(3).earlier == run_outcome::failed);
  CHECK(get_claim_status(*test.one.state) == before);
}

TEST_CASE("a write whose answer was lost is resolved by reading back", "[control]") {
  two_daemon_test test;
  test.request_claim(test.one, 1, "a");
  test.request_claim(test.one, 2, "b");
  test.expire_batch_window(test.one);
  const bool took_effect = GENERATE(true, false);
  if (took_effect) {
    test.table.serve(test.one.requests.front());
  }
  test.one.fail_next_request(platform_end::unknown, test.now);
  CHECK(test.one.granted.empty());
  for (int turn = 0; turn < 10; ++turn) {
    test.advance_clock(milliseconds(20));
  }
  CHECK(test.one.granted.size() == 2);
  CHECK(test.row("a").token == "1");
  CHECK(test.row("b").token == "2");
}

TEST_CASE("a write delivered after it was read back and retried is granted once", "[control]") {
  two_daemon_test test;
  test.request_claim(test.one, 1, "a");
  test.expire_batch_window(test.one);
  const auto late = test.one.fail_next_request(platform_end::unknown, test.now);
  test.one.serve_all(test.table, test.now);
  CHECK(test.one.granted.empty());
  test.table.serve(late);
  for (int turn = 0; turn < 5; ++turn) {
    test.advance_clock(milliseconds(20));
  }
  CHECK(test.one.granted.size() == 1);
  CHECK(test.table.rows.begin()->second.version == 1);
}

TEST_CASE("a call is refused while the platform is unavailable, and its key is released later",
          "[control]") {
  two_daemon_test test;
  test.request_claim(test.one, 1, "key");
  test.expire_batch_window(test.one);
  const auto late = test.one.fail_next_request(platform_end::unknown, test.now);
  while (test.one.refused.empty()) {
    test.now += milliseconds(100);
    test.fire_timer(test.one);
    while (!test.one.requests.empty()) {
      test.one.fail_next_request(platform_end::failed_before, test.now);
    }
  }
  CHECK(test.one.refused.at(1).code == result_code::claim_unavailable);
  CHECK(test.now >= start + call_time);
  CHECK_FALSE(begin_run(*test.one.state, 1, test.now));
  // The delayed write is delivered, and the platform recovers.
  test.table.serve(late);
  for (int turn = 0; turn < 40; ++turn) {
    test.advance_clock(milliseconds(100));
  }
  CHECK(test.row("key").outcome == run_outcome::not_run);
  test.request_claim(test.other, 2, "key");
  test.advance_clock(milliseconds(2));
  CHECK(test.other.granted.contains(2));
}

TEST_CASE("a claim that certainly took no effect leaves no state", "[control]") {
  two_daemon_test test;
  test.request_claim(test.one, 1, "key");
  test.expire_batch_window(test.one);
  test.one.fail_next_request(platform_end::failed_before, test.now);
  test.advance_clock(call_time);
  CHECK(test.one.refused.at(1).code == result_code::claim_unavailable);
  CHECK(test.table.rows.empty());
  CHECK(get_claim_status(*test.one.state).cached_keys == 0);
}

TEST_CASE("a key whose holder crashed is never executed again", "[control]") {
  two_daemon_test test;
  test.request_claim(test.one, 1, "key");
  test.advance_clock(milliseconds(2));
  const bool has_started = GENERATE(true, false);
  if (has_started) {
    REQUIRE(begin_run(*test.one.state, 1, test.now));
  }
  test.one = claiming_daemon("one-2");
  test.advance_clock(std::chrono::hours(24));
  test.request_claim(test.one, 2, "key");
  test.request_claim(test.other, 3, "key");
  test.advance_clock(milliseconds(2));
  for (const auto& refusal : {test.one.refused.at(2), test.other.refused.at(3)}) {
    CHECK(refusal.code == result_code::duplicate_in_progress);
    CHECK(refusal.holder == "one-1");
  }
}

TEST_CASE("a holder that was paused past the deadline does not send the call", "[control]") {
  two_daemon_test test;
  test.request_claim(test.one, 1, "key");
  test.advance_clock(milliseconds(2));
  test.now += call_time;
  CHECK_FALSE(begin_run(*test.one.state, 1, test.now));
  test.one.handle_event(run_ended{1, run_outcome::not_run}, test.now);
  test.advance_clock(milliseconds(2));
  CHECK(test.one.settled.at(1));
  test.request_claim(test.other, 2, "key");
  test.advance_clock(milliseconds(2));
  CHECK(test.other.granted.contains(2));
}

TEST_CASE("a claim that is written after the deadline is released", "[control]") {
  two_daemon_test test;
  test.request_claim(test.one, 1, "key");
  test.expire_batch_window(test.one);
  test.now += call_time;
  test.one.serve_all(test.table, test.now);
  CHECK(test.one.refused.at(1).code == result_code::deadline_exceeded);
  test.advance_clock(milliseconds(2));
  CHECK(test.row("key").outcome == run_outcome::not_run);
}

TEST_CASE("the key of a cancelled call is released", "[control]") {
  two_daemon_test test;
  test.request_claim(test.one, 1, "key");
  SECTION("while the row is written") {
    test.expire_batch_window(test.one);
    test.one.handle_event(claim_abandoned{1}, test.now);
  }
  SECTION("after the grant") {
    test.advance_clock(milliseconds(2));
    test.one.handle_event(claim_abandoned{1}, test.now);
  }
  CHECK(test.one.refused.at(1).code == result_code::cancelled);
  CHECK_FALSE(begin_run(*test.one.state, 1, test.now));
  test.advance_clock(milliseconds(2));
  test.advance_clock(milliseconds(2));
  CHECK(test.row("key").outcome == run_outcome::not_run);
}

TEST_CASE("the outcome of a key can be queried at any daemon", "[control]") {
  two_daemon_test test;
  const auto ask = [&](claiming_daemon& daemon, std::uint64_t query) {
    daemon.handle_event(key_queried{query, "kwaeso", "key"}, test.now);
    test.advance_clock(milliseconds(2));
    return daemon.answers.at(query);
  };
  CHECK(ask(test.other, 1) == key_answer{1, true, std::nullopt});
  test.request_claim(test.one, 1, "key");
  test.advance_clock(milliseconds(2));
  CHECK(ask(test.other, 2) == key_answer{2, true, claim_row{"one-1", "1", std::nullopt}});
  test.run(test.one, 1, run_outcome::completed);
  const claim_row done{"one-1", "1", run_outcome::completed};
  CHECK(ask(test.other, 3) == key_answer{3, true, done});
  CHECK(ask(test.one, 4) == key_answer{4, true, done});
  test.other.handle_event(key_queried{5, "kwaeso", "key"}, test.now);
  test.other.fail_next_request(platform_end::unknown, test.now);
  CHECK_FALSE(test.other.answers.at(5).known);
}

TEST_CASE("a lost answer and a conflict in one batch are both resolved", "[control]") {
  two_daemon_test test;
  test.request_claim(test.one, 1, "mine");
  test.request_claim(test.one, 2, "contested");
  test.expire_batch_window(test.one);
  const auto late = test.one.fail_next_request(platform_end::unknown, test.now);
  test.request_claim(test.other, 3, "contested");
  test.expire_batch_window(test.other);
  test.other.serve_all(test.table, test.now);
  CHECK_FALSE(test.table.write(std::get<write_rows>(late.operation)));
  for (int turn = 0; turn < 10; ++turn) {
    test.advance_clock(milliseconds(20));
  }
  CHECK(test.other.granted.contains(3));
  CHECK(test.one.granted == std::set<std::uint64_t>{1});
  CHECK(test.one.refused.at(2).code == result_code::duplicate_in_progress);
}

TEST_CASE("an outcome that cannot be recorded leaves the key claimed", "[control]") {
  two_daemon_test test;
  test.request_claim(test.one, 1, "key");
  test.advance_clock(milliseconds(2));
  REQUIRE(begin_run(*test.one.state, 1, test.now));
  test.one.handle_event(run_ended{1, run_outcome::completed}, test.now);
  while (test.one.settled.empty()) {
    test.now += milliseconds(500);
    test.fire_timer(test.one);
    while (!test.one.requests.empty()) {
      test.one.fail_next_request(platform_end::failed_before, test.now);
    }
  }
  CHECK_FALSE(test.one.settled.at(1));
  test.request_claim(test.other, 2, "key");
  test.advance_clock(milliseconds(2));
  CHECK(test.other.refused.at(2).code == result_code::duplicate_in_progress);
  test.request_claim(test.one, 3, "key");
  CHECK(test.one.refused.at(3).earlier == run_outcome::completed);
}

TEST_CASE("a row in an unknown format prevents the call from executing", "[control]") {
  two_daemon_test test;
  const auto row_key = claim_row_key("kwaeso", "key");
  test.table.rows[row_key] = {row_key, "something else", 4};
  test.request_claim(test.one, 1, "key");
  test.advance_clock(milliseconds(2));
  CHECK(test.one.refused.at(1).code == result_code::outcome_unknown);
}

TEST_CASE("spaces in the name of the holder are replaced in its rows", "[control]") {
  two_daemon_test test;
  test.one = claiming_daemon("the first one");
  test.request_claim(test.one, 1, "key");
  test.advance_clock(milliseconds(2));
  CHECK(test.row("key").holder == "the-first-one");
}

TEST_CASE("the numbers of cached keys and of calls are limited", "[control]") {
  auto settings = claiming_daemon::settings_for("one-1");
  settings.max_cached_keys = 10;
  settings.max_calls = 20;
  two_daemon_test test;
  test.one = claiming_daemon(settings);
  for (std::uint64_t call = 1; call <= 25; ++call) {
    test.request_claim(test.one, call, "key-" + std::to_string(call));
  }
  CHECK(test.one.refused.size() == 5);
  CHECK(test.one.refused.at(21).code == result_code::claim_unavailable);
  test.advance_clock(milliseconds(2));
  for (std::uint64_t call = 1; call <= 20; ++call) {
    REQUIRE(begin_run(*test.one.state, call, test.now));
    test.one.handle_event(run_ended{call, run_outcome::completed}, test.now);
  }
  test.advance_clock(milliseconds(100));
  test.advance_clock(milliseconds(2));
  test.one.fire_timer(test.now);
  CHECK(get_claim_status(*test.one.state).cached_keys == 10);
  // A key evicted from the cache is still refused, because of its row in the table.
  test.request_claim(test.one, 30, "key-1");
  test.advance_clock(milliseconds(2));
  CHECK(test.one.refused.at(30).earlier == run_outcome::completed);
  test.now += settings.cached_key_lifetime;
  test.one.fire_timer(test.now);
  CHECK(get_claim_status(*test.one.state).cached_keys == 0);
}

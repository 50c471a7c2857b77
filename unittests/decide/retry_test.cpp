#include "acaciasill/decide/request_path.h"
#include "acaciasill/decide/retry.h"

#include <catch2/catch.hpp>

using namespace acaciasill;
using namespace acaciasill::decide;
using support::milliseconds;
using support::result_code;
using reason = retry_decision::reason;

namespace {

struct retry_fixture {
  attempt_budget budget{2};
  retry_tokens tokens;
  support::random_source random{1};
  failed_attempt failed{.code = result_code::backend_failed,
                        .tried = 1,
                        .subset_size = 3,
                        .deadline = support::time_point(milliseconds(1000))};

  retry_decision decide() { return may_retry(budget, tokens, failed, {}, random); }
};

} // namespace

TEST_CASE_METHOD(retry_fixture, "a failure next to the hop is retried using the budget") {
  const auto decision = decide();
  CHECK(decision.retry);
  CHECK(decision.uses_budget);
  CHECK(decision.delay <= milliseconds(10));
  CHECK(held_attempts(budget) == 1);
}

TEST_CASE_METHOD(retry_fixture, "a call that may have run is not retried unless idempotent") {
  failed.idempotent = false;
  CHECK(decide().refused == reason::may_have_run);
  failed.not_run = true;
  failed.code = result_code::backend_shed;
  CHECK(decide().retry);
}

TEST_CASE_METHOD(retry_fixture, "no hop above an overloaded one retries") {
  failed.overloaded_below = true;
  CHECK(decide().refused == reason::overloaded);
  failed.overloaded_below = false;
  for (const auto code : {result_code::shed_at_upstream, result_code::queue_full,
                          result_code::queue_timeout, result_code::share_exceeded}) {
    failed.code = code;
    failed.not_run = true;
    CHECK(decide().refused == reason::overloaded);
  }
  CHECK(held_attempts(budget) == 2);
}

TEST_CASE_METHOD(retry_fixture, "only the hop next to the failure retries") {
  failed.next_to_failure = false;
  CHECK(decide().refused == reason::not_next_to_failure);
}

TEST_CASE_METHOD(retry_fixture,
                 "a retry after a leaving upstream uses no attempt while other upstreams remain") {
  failed.not_run = true;
  failed.idempotent = false;
  for (const auto code : {result_code::draining, result_code::peer_unreachable}) {
    failed.code = code;
    const auto decision = decide();
    CHECK(decision.retry);
    CHECK_FALSE(decision.uses_budget);
  }
  failed.tried = 3;
  CHECK(decide().refused == reason::no_upstream);
  CHECK(held_attempts(budget) == 2);
}

TEST_CASE_METHOD(retry_fixture, "a retry that cannot meet the deadline is not made") {
  failed.expected_service_time = milliseconds(1000);
  CHECK(decide().refused == reason::no_time);
  CHECK(held_attempts(budget) == 2);
}

TEST_CASE_METHOD(retry_fixture, "without a token the attempt is returned to the budget") {
  CHECK(decide().retry);
  CHECK(decide().refused == reason::no_token);
  CHECK(held_attempts(budget) == 1);
}

TEST_CASE("tokens accumulate at the retry ratio and decay") {
  retry_tokens tokens;
  support::time_point now{};
  int retries = 0;
  for (int call = 0; call < 1000; ++call) {
    earn_retry(tokens, 0.1, now);
    retries += take_retry(tokens, now) ? 1 : 0;
  }
  CHECK(retries <= 101);
  CHECK(retries >= 99);
  for (int call = 0; call < 1000; ++call) {
    earn_retry(tokens, 0.1, now);
  }
  CHECK(tokens.thousandths == 10000);
  now += milliseconds(1000);
  CHECK(take_retry(tokens, now));
  CHECK(tokens.thousandths == 4500);
}

TEST_CASE("attempts that a reply reports as unused return to the budget of the call") {
  attempt_budget budget;
  reset_budget(budget, 3);
  const auto lent = lend_attempts(budget);
  upstream_load load;
  entry_thresholds thresholds(0, 0);
  begin_attempt(load);
  reply_facts reply;
  reply.lent_attempts = lent;
  reply.unused_attempts = lent;
  on_reply(load, thresholds, {}, budget, reply, {});
  CHECK(held_attempts(budget) == 3);
}

TEST_CASE("all attempts but one are lent, and the last one if no more is held") {
  for (const auto& [held, lent] : {std::pair{10U, 9U}, {2U, 1U}, {1U, 1U}, {0U, 0U}}) {
    attempt_budget budget(held);
    CHECK(lend_attempts(budget) == lent);
    CHECK(held_attempts(budget) == held - lent);
  }
}

TEST_CASE("a retry refused for lack of tokens holds back less urgent ones for a time") {
  retry_tokens tokens;
  const support::time_point now(std::chrono::seconds(100));
  const auto important = urgency_of(1, false);
  const auto other = urgency_of(5, true);
  CHECK(important < other);
  CHECK(urgency_of(1, true) < important);
  REQUIRE(take_retry(tokens, now, important));
  REQUIRE_FALSE(take_retry(tokens, now, important));
  for (int call = 0; call < 100; ++call) {
    earn_retry(tokens, 0.1, now);
  }
  CHECK_FALSE(take_retry(tokens, now, other));
  CHECK(take_retry(tokens, now, important));
  CHECK(take_retry(tokens, now + denial_memory, other));
}

// Conservation of the retry budget over a tree of calls with lost replies.
#include "acaciasill/decide/parent_calls.h"
#include "acaciasill/decide/retry.h"

#include <catch2/catch.hpp>

#include "fault_injection.h"

using namespace acaciasill;
using namespace acaciasill::decide;
using acaciasill::decide::testing::cases_until_failure;

namespace {

enum class fault { none, lost_reply_returns, retry_unpaid };

struct call_tree {
  support::random_source random;
  fault injected = fault::none;
  std::uint32_t extra_attempts = 0; // Attempts beyond the first as counted by the oracle.
};

std::uint32_t run_service(call_tree& tree, int depth, std::uint32_t lent);

// Makes one call with its retries, using attempts taken from the parent; returns the unused
// attempts.
std::uint32_t call(call_tree& tree, int depth, std::uint32_t borrowed) {
  attempt_budget budget(borrowed);
  retry_tokens tokens;
  tokens.thousandths = 10000;
  for (std::uint32_t attempt = 0;; ++attempt) {
    const auto lent = lend_attempts(budget);
    const auto unused = run_service(tree, depth + 1, lent);
    const bool lost = tree.random() % 4 == 0;
    if (!lost) {
      return_attempts(budget, lent, unused);
    }
    if (lost && tree.injected == fault::lost_reply_returns) {
      return_attempts(budget, lent, lent);
    }
    const bool failed = lost || tree.random() % 3 == 0;
    if (!failed) {
      return held_attempts(budget);
    }
    const failed_attempt facts{.code = support::result_code::backend_failed,
                               .tried = attempt + 1,
                               .subset_size = 8,
                               .deadline = support::time_point(std::chrono::seconds(100))};
    const auto decision = may_retry(budget, tokens, facts, {}, tree.random);
    if (!decision.retry && tree.injected != fault::retry_unpaid) {
      return held_attempts(budget);
    }
    if (attempt > 6) {
      return 0;
    }
    ++tree.extra_attempts;
  }
}

// Runs a service that makes calls of its own with the attempts lent to it.
std::uint32_t run_service(call_tree& tree, int depth, std::uint32_t lent) {
  parent_table table(4);
  const request_id id{1, static_cast<std::uint64_t>(depth)};
  const auto parent = open_parent(table, id, {.lent_attempts = lent, .holds_finished_work = false});
  const auto children = depth >= 4 ? 0 : tree.random() % 3;
  for (std::uint64_t child = 0; child < children; ++child) {
    const auto borrowed = borrow_from_parent(table, *parent);
    const auto unused = call(tree, depth, borrowed);
    if (tree.random() % 5 != 0) {
      return_to_parent(table, *parent, borrowed, {.unused_attempts = unused}, true);
    }
  }
  return close_parent(table, *parent, lent).unused_attempts;
}

bool budget_is_conserved(fault injected) {
  call_tree tree{support::random_source(*rc::gen::arbitrary<std::uint64_t>()), injected};
  const auto initial_attempts = *rc::gen::inRange<std::uint32_t>(0, 12);
  const auto unused = call(tree, 0, initial_attempts);
  return tree.extra_attempts + unused <= initial_attempts;
}

} // namespace

TEST_CASE("attempts beyond the first never exceed the initial budget, whichever replies are lost") {
  CHECK(rc::check([] { RC_ASSERT(budget_is_conserved(fault::none)); }));
}

TEST_CASE("the budget property detects each injected fault") {
  CHECK(cases_until_failure("lost reply returns the loan",
                            [] { return budget_is_conserved(fault::lost_reply_returns); }) > 0);
  CHECK(cases_until_failure("retry not paid for",
                            [] { return budget_is_conserved(fault::retry_unpaid); }) > 0);
}

TEST_CASE("a reply that returns more than was lent adds nothing") {
  attempt_budget budget(4);
  const auto lent = lend_attempts(budget);
  CHECK(lent == 3);
  CHECK(return_attempts(budget, lent, 100) == 3);
  CHECK(held_attempts(budget) == 4);
}

TEST_CASE("a late return to a cell reused by another request counts as spent") {
  parent_table table(1);
  const auto first = open_parent(table, {1, 1}, {.lent_attempts = 4, .holds_finished_work = false});
  const auto borrowed = borrow_from_parent(table, *first);
  close_parent(table, *first, 4);
  std::optional<parent_ref> second;
  // Other requests occupy every cell, including that of the first request.
  for (std::uint64_t number = 2; number < 200; ++number) {
    if (const auto opened =
            open_parent(table, {1, number}, {.lent_attempts = 0, .holds_finished_work = false});
        opened && opened->cell == first->cell) {
      second = opened;
    }
  }
  REQUIRE(second.has_value());
  return_to_parent(table, *first, borrowed, {.unused_attempts = borrowed}, true);
  CHECK(close_parent(table, *second, 100).unused_attempts == 0);
}

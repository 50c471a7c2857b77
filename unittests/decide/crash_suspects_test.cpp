#include "acaciasill/decide/crash_suspects.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "acaciasill/support/random.h"
#include "fault_injection.h"

using namespace acaciasill;
using namespace acaciasill::decide;
using acaciasill::decide::testing::cases_until_failure;
using support::milliseconds;
using support::seconds;
using support::time_point;

namespace {

// The platform's bound: after the third crash and the time until it has to be known, a request may
// reach servers in this many more attempts.
constexpr int max_late_attempts = 3;
constexpr milliseconds stable_window{3000};
// Longest time until a row is known to all daemons, and time until a crashed server is back.
constexpr milliseconds max_row_delay{2500};
constexpr milliseconds server_restart{3000};

enum class fault { none, not_shared, forgets_on_restart, counts_all };

// A daemon with its server in virtual time. Its row is visible to the others after a delay.
struct simulated_daemon {
  crash_log log;
  std::vector<crash_requests> row;
  std::vector<crash_requests> visible;
  time_point visible_at{};
  time_point back_at{};

  void share(time_point now, support::random_source& random) {
    row = shared_crashes(log);
    visible_at = now + milliseconds(static_cast<std::int64_t>(
                           support::uniform_below(random, max_row_delay.count())));
  }
};

struct outcome {
  int late_attempts = 0;
  int refused_bystanders = 0;
};

// Requests that the daemon refuses, given what it sees of the others.
std::vector<content_hash> refused_at(const std::vector<simulated_daemon>& daemons,
                                     const simulated_daemon& self, fault injected) {
  auto crashes = self.row;
  for (const auto& daemon : daemons) {
    if (&daemon != &self && injected != fault::not_shared) {
      crashes.insert(crashes.end(), daemon.visible.begin(), daemon.visible.end());
    }
  }
  if (injected != fault::counts_all) {
    return refused_requests(std::move(crashes));
  }
  std::map<content_hash, std::size_t> counts;
  std::vector<content_hash> refused;
  for (const auto& requests : crashes) {
    for (const auto content : requests) {
      if (++counts[content] == crashes_until_refused) {
        refused.push_back(content);
      }
    }
  }
  std::sort(refused.begin(), refused.end());
  return refused;
}

content_hash other_request(support::random_source& random) {
  return hash_content("diary", "GET", "/a/" + std::to_string(random() % 300), "");
}

// One request that crashes each server that runs it comes again and again at any daemon, beside 300
// other requests, some of whose answers are lost.
outcome play(fault injected, std::uint64_t seed) {
  support::random_source random(seed);
  std::vector<simulated_daemon> daemons(3 + random() % 10);
  outcome result;
  int crashes = 0;
  time_point third_crash{};
  const auto crashing = hash_content("diary", "GET", "/a/crash", "");
  for (time_point now{}; now < time_point(seconds(120)); now += milliseconds(50)) {
    for (auto& daemon : daemons) {
      daemon.visible = daemon.visible_at <= now ? daemon.row : daemon.visible;
    }
    auto& chosen = daemons[random() % daemons.size()];
    if (random() % 400 == 0) {
      // The process is restarted and finds its own row.
      chosen.log = {};
      if (injected != fault::forgets_on_restart) {
        adopt_crashes(chosen.log, chosen.row, now);
      }
      chosen.share(now, random);
    }
    if (chosen.back_at > now) {
      continue;
    }
    const auto refused = refused_at(daemons, chosen, injected);
    const auto is_refused = [&refused](content_hash content) {
      return std::binary_search(refused.begin(), refused.end(), content);
    };
    const auto other = other_request(random);
    if (is_refused(other)) {
      ++result.refused_bystanders;
    } else if (random() % 30 == 0) {
      // The answer is lost, and the server goes on.
      record_unanswered(chosen.log, other, now);
      record_alive(chosen.log, now + milliseconds(1));
    } else if (record_answered(chosen.log, other)) {
      chosen.share(now, random);
    }
    if (random() % 8 != 0 || is_refused(crashing)) {
      continue;
    }
    result.late_attempts += crashes >= 3 && now > third_crash + stable_window ? 1 : 0;
    third_crash = ++crashes == 3 ? now : third_crash;
    // Other requests that were running get no answer either.
    for (int running = 0; running < 20; ++running) {
      record_unanswered(chosen.log, other_request(random), now);
    }
    record_unanswered(chosen.log, crashing, now);
    record_crash(chosen.log, refused, now);
    chosen.share(now, random);
    chosen.back_at = now + server_restart;
  }
  return result;
}

bool is_bounded(fault injected) {
  const auto result = play(injected, *rc::gen::arbitrary<std::uint64_t>());
  return result.late_attempts <= max_late_attempts;
}

bool bystanders_are_served(fault injected) {
  return play(injected, *rc::gen::arbitrary<std::uint64_t>()).refused_bystanders <= 24;
}

} // namespace

TEST_CASE("a request that crashes servers is refused by all daemons after the third crash") {
  CHECK(rc::check([] { RC_ASSERT(is_bounded(fault::none)); }));
  CHECK(cases_until_failure("crashes are not shared",
                            [] { return is_bounded(fault::not_shared); }) > 0);
  CHECK(cases_until_failure("a restarted daemon forgets its crashes",
                            [] { return is_bounded(fault::forgets_on_restart); }) > 0);
}

TEST_CASE("requests that ran beside a crashing one are served again") {
  // At most 1 in 100 of the 2,400 other requests of a play.
  CHECK(rc::check([] { RC_ASSERT(bystanders_are_served(fault::none)); }));
  CHECK(cases_until_failure("a crash counts for every request that ran",
                            [] { return bystanders_are_served(fault::counts_all); }) > 0);
}

TEST_CASE("a crash has the requests that got no answer shortly before it, each once") {
  crash_log log;
  const time_point now{seconds(100)};
  record_unanswered(log, 1, now - crash_window - milliseconds(1));
  record_unanswered(log, 2, now);
  record_unanswered(log, 2, now);
  CHECK(record_crash(log, {}, now));
  CHECK(shared_crashes(log) == std::vector<crash_requests>{{2}});
  // The same crash noticed a second time.
  CHECK_FALSE(record_crash(log, {}, now));
  CHECK(shared_crashes(log) == std::vector<crash_requests>{{2}});
}

TEST_CASE("an answer clears a request, and a living server clears the calls that it lost") {
  crash_log log;
  const time_point now{seconds(100)};
  record_unanswered(log, 1, now);
  record_unanswered(log, 2, now + seconds(2));
  record_unanswered(log, 3, now + seconds(2));
  record_alive(log, now + seconds(1));
  CHECK(record_crash(log, {}, now + seconds(3)));
  CHECK(shared_crashes(log) == std::vector<crash_requests>{{2, 3}});
  CHECK(record_answered(log, 2));
  CHECK_FALSE(record_answered(log, 2));
  CHECK(shared_crashes(log) == std::vector<crash_requests>{{3}});
  CHECK(record_answered(log, 3));
  CHECK(shared_crashes(log).empty());
}

TEST_CASE("a request that ran beside the cause of crashes is not refused with it") {
  CHECK(refused_requests({{1, 9}, {2, 9}}).empty());
  CHECK(refused_requests({{1, 9}, {2, 9}, {1, 9}, {1, 9}}) == std::vector<content_hash>{9});
  // Nothing tells two requests apart that ran at the same crashes.
  CHECK(refused_requests({{1, 9}, {1, 9}, {1, 9}}) == std::vector<content_hash>{1, 9});
  // Two causes, which met at one crash.
  CHECK(refused_requests({{7, 9}, {9}, {9}, {9}, {7}, {7}, {1, 7}}) ==
        std::vector<content_hash>{7, 9});
}

TEST_CASE("recorded crashes are bounded in number and in time") {
  crash_log log;
  time_point now{seconds(100)};
  const content_hash crashing = 77;
  std::vector<content_hash> refused;
  for (std::uint64_t crash = 0; crash < 100; ++crash) {
    record_unanswered(log, crashing, now);
    for (std::uint64_t call = 0; call < 40; ++call) {
      record_unanswered(log, 1000 + crash * 40 + call, now);
    }
    record_crash(log, refused, now);
    refused = refused_requests(shared_crashes(log));
    CHECK(log.crashes.size() <= max_recorded_crashes);
    now += seconds(1);
  }
  std::size_t requests = 0;
  for (const auto& crash : shared_crashes(log)) {
    requests += crash.size();
  }
  CHECK(requests <= max_recorded_requests);
  CHECK(refused == std::vector<content_hash>{crashing});
  // Calls beyond the bound do not push out a request that is refused already.
  record_unanswered(log, crashing, now);
  for (std::uint64_t call = 0; call < max_unanswered_calls - 1; ++call) {
    record_unanswered(log, 1 + call % 60 + 100, now);
  }
  record_crash(log, refused, now);
  CHECK(std::count(log.crashes.back().requests.begin(), log.crashes.back().requests.end(),
                   crashing) == 1);
  CHECK(log.crashes.back().requests.size() <= max_requests_per_crash);
  CHECK(expire_crashes(log, now + crash_lifetime));
  CHECK(log.crashes.empty());
}

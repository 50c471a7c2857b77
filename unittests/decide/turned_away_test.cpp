// Requests that make four calls in a row to a service whose servers turn away most calls.
#include "acaciasill/decide/retry.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <vector>

using namespace acaciasill;
using namespace acaciasill::decide;
using support::milliseconds;
using support::time_point;

namespace {

constexpr int calls_of_request = 4;
constexpr milliseconds call_time{30};
constexpr milliseconds request_time{1000};
constexpr double retry_ratio = 0.15;
constexpr std::uint32_t spare_attempts = 10;
// The platform's bound on repeats: a fraction of the first attempts of a window, and a constant.
constexpr double allowed_ratio = 0.2;
constexpr double allowed_extra = 48.0;
constexpr std::size_t window_s = 10;
constexpr std::size_t play_s = 40;
constexpr std::uint8_t important_rank = 1;
constexpr std::uint8_t other_rank = 5;

struct request {
  std::uint8_t rank = other_rank;
  time_point deadline;
  int completed = 0;
  std::uint32_t retries = 0;
  attempt_budget budget{spare_attempts};
};

struct outcome {
  std::map<std::uint8_t, double> offered;
  std::map<std::uint8_t, double> served;
  std::array<double, play_s> first_attempts{};
  std::array<double, play_s> repeats{};
};

// One daemon beside the servers that make the calls. All servers of the called service turn away a
// fraction of the calls from the 20th second on.
struct play {
  explicit play(double fraction, std::uint64_t seed) : turned_away(fraction), random(seed) {}

  double turned_away;
  support::random_source random;
  retry_tokens tokens;
  std::multimap<time_point, std::function<void()>> events;
  std::deque<request> requests;
  outcome result;
  time_point now{};

  std::size_t second() const {
    return std::min<std::size_t>(play_s - 1, now.time_since_epoch() / std::chrono::seconds(1));
  }

  void arrive(std::uint8_t rank, milliseconds gap) {
    auto& added = requests.emplace_back();
    added.rank = rank;
    added.deadline = now + request_time;
    result.offered[rank] += second() >= 20 ? 1 : 0;
    call(added);
    events.emplace(now + gap, [this, rank, gap] { arrive(rank, gap); });
  }

  void call(request& made) {
    earn_retry(tokens, retry_ratio, now);
    result.first_attempts[second()] += 1;
    attempt(made);
  }

  void attempt(request& made) {
    if (second() >= 20 && support::uniform_unit(random) < turned_away) {
      failed_attempt failed;
      failed.not_run = true;
      failed.code = support::result_code::backend_shed;
      failed.subset_size = 100;
      failed.retries = made.retries;
      failed.urgency = urgency_of(made.rank, made.completed > 0);
      failed.deadline = made.deadline;
      failed.expected_service_time = call_time;
      const auto decision = may_retry(made.budget, tokens, failed, now, random);
      if (decision.retry) {
        ++made.retries;
        events.emplace(now + decision.delay, [this, &made] {
          result.repeats[second()] += 1;
          attempt(made);
        });
      }
      return;
    }
    events.emplace(now + call_time, [this, &made] {
      if (++made.completed < calls_of_request) {
        call(made);
      } else if (now <= made.deadline) {
        result.served[made.rank] += second() >= 20 ? 1 : 0;
      }
    });
  }

  void run() {
    arrive(important_rank, milliseconds(20));
    arrive(other_rank, milliseconds(8));
    while (events.begin()->first < time_point(std::chrono::seconds(play_s))) {
      const auto next = events.extract(events.begin());
      now = next.key();
      next.mapped()();
    }
  }

  double served_fraction(std::uint8_t rank) { return result.served[rank] / result.offered[rank]; }
};

double sum(const std::array<double, play_s>& counts, std::size_t first) {
  double total = 0;
  for (std::size_t second = first; second < first + window_s; ++second) {
    total += counts[second];
  }
  return total;
}

} // namespace

TEST_CASE("important requests get the retries of calls that servers turn away") {
  const auto seed = GENERATE(1U, 2U, 3U);
  play half(0.55, seed);
  half.run();
  // Without retries 0.45^4 = 0.04 of the requests would be served.
  CHECK(half.served_fraction(important_rank) >= 0.3);
  CHECK(half.served_fraction(important_rank) >= 3 * half.served_fraction(other_rank));
  play few(0.1, seed);
  few.run();
  CHECK(few.served_fraction(important_rank) >= 0.99);
  CHECK(few.served_fraction(other_rank) >= 0.9);
}

TEST_CASE(
    "repeats stay within the bound on a service in every window while calls are turned away") {
  const auto fraction = GENERATE(0.1, 0.55, 0.9, 1.0);
  play sim(fraction, 1);
  sim.run();
  for (std::size_t first = window_s; first + window_s <= play_s; ++first) {
    const double most = std::max({sum(sim.result.first_attempts, first),
                                  sum(sim.result.first_attempts, first - window_s / 2),
                                  sum(sim.result.first_attempts, first - window_s)});
    CHECK(sum(sim.result.repeats, first) <= allowed_ratio * most + allowed_extra);
  }
}

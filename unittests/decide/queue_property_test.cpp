// Compares the gate and its queue with an oracle that keeps all waiting calls in one list.
#include "acaciasill/decide/wait_queue.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "found_after.h"

using namespace acaciasill;
using namespace acaciasill::decide;
using acaciasill::decide::testing::found_after;

namespace {

// Faults that can be injected.
enum class fault { none, level_inverted, share_ignored, slot_left_idle, late_drop };

constexpr std::uint32_t organisations = 4;

struct oracle_call {
  std::uint64_t handle = 0;
  request_facts request;
  support::time_point drop_at;
};

struct model {
  explicit model(fault kind) : injected(kind) {
    view.organisations = {{0.5, 2.0}, {0.25, 1.0}, {0.125, 1.0}, {0.0, 1.0}};
    view.queue_places = 12;
    view.queue_bound = support::milliseconds(30);
    shown = view;
    if (kind == fault::share_ignored) {
      shown.organisations.assign(organisations, {0.0, 1.0});
    }
  }

  fault injected;
  gate counters{organisations, 8};
  gate_view view;
  gate_view shown; // View passed to the code under test.
  wait_queue queue{organisations, 16};
  support::time_point now{};
  std::vector<oracle_call> waiting;
  std::array<int, organisations> running{};
  std::vector<dropped_call> dropped;
  std::uint64_t last_handle = 0;
  bool holds = true;
};

unsigned step_of(const request_facts& request) {
  return request.level >> 24U;
}

void expect(model& all, bool condition) {
  all.holds = all.holds && condition;
}

// Returns the guaranteed slots of an organisation according to the view.
double guaranteed(const model& all, std::uint32_t organisation) {
  return all.view.organisations[organisation].guaranteed * all.counters.limit;
}

bool under_guarantee(const model& all, std::uint32_t organisation) {
  return all.running[organisation] < guaranteed(all, organisation);
}

void check_next(model& all, const queued_call& next) {
  const auto found = std::find_if(all.waiting.begin(), all.waiting.end(),
                                  [&](const auto& call) { return call.handle == next.handle; });
  expect(all, found != all.waiting.end());
  if (found == all.waiting.end()) {
    return;
  }
  const auto chosen = found->request;
  all.waiting.erase(found);
  unsigned best_rank = rank_of(chosen.level);
  bool any_under = false;
  for (const auto& call : all.waiting) {
    const bool same = call.request.organisation == chosen.organisation;
    expect(all, !same || step_of(chosen) <= step_of(call.request));
    expect(all, call.drop_at > all.now);
    any_under = any_under || under_guarantee(all, call.request.organisation);
    best_rank = std::min<unsigned>(best_rank, rank_of(call.request.level));
  }
  if (!under_guarantee(all, chosen.organisation)) {
    expect(all, !any_under);
    expect(all, rank_of(chosen.level) == best_rank);
  }
  ++all.running[chosen.organisation];
}

void settle_drops(model& all) {
  for (const auto& drop : all.dropped) {
    const auto found = std::find_if(all.waiting.begin(), all.waiting.end(), [&](const auto& call) {
      return call.handle == drop.call.handle;
    });
    if (found != all.waiting.end()) {
      all.waiting.erase(found);
    }
    if (drop.code != support::result_code::queue_full) {
      continue;
    }
    for (const auto& call : all.waiting) {
      const bool same = call.request.organisation == drop.call.request.organisation;
      expect(all, !same || step_of(call.request) <= step_of(drop.call.request));
    }
  }
  all.dropped.clear();
}

void pump(model& all, std::optional<std::uint32_t> finished = std::nullopt) {
  while (true) {
    const auto next =
        next_from_queue(all.queue, all.counters, all.shown, all.now, all.dropped, finished);
    settle_drops(all);
    if (!next) {
      break;
    }
    check_next(all, *next);
  }
  expect(all, all.counters.in_flight >= all.counters.limit || all.waiting.empty());
  expect(all, size(all.queue) == all.waiting.size());
}

void offer(model& all, support::random_source& random) {
  const request_id id{random(), random()};
  const auto rank = static_cast<std::uint8_t>(random() % 8);
  const auto organisation = static_cast<std::uint32_t>(random() % organisations);
  const request_facts request{id, make_level(rank, random() % 2 == 0, id), organisation,
                              all.now + support::milliseconds(10 + random() % 50)};
  auto seen = request;
  if (all.injected == fault::level_inverted) {
    seen.level = ~request.level;
  }
  const auto decision = admit(all.counters, all.shown, seen, all.now, random);
  expect(all, decision.action != admission::refuse);
  if (decision.action == admission::run) {
    expect(all, all.waiting.empty());
    ++all.running[organisation];
    return;
  }
  const auto handle = ++all.last_handle;
  // A call that enqueue refuses is the last one dropped.
  all.waiting.push_back(
      {handle, request, std::min(all.now + all.view.queue_bound, request.deadline)});
  enqueue(all.queue, all.counters, all.shown, seen, handle, all.now, all.dropped);
  for (auto& drop : all.dropped) {
    const auto known = std::find_if(all.waiting.begin(), all.waiting.end(), [&](const auto& call) {
      return call.handle == drop.call.handle;
    });
    drop.call.request = known == all.waiting.end() ? drop.call.request : known->request;
  }
  settle_drops(all);
  pump(all);
}

void finish_one(model& all, support::random_source& random) {
  const auto organisation = static_cast<std::uint32_t>(random() % organisations);
  if (all.running[organisation] == 0) {
    return;
  }
  --all.running[organisation];
  on_cancel(all.counters, organisation);
  if (all.injected == fault::slot_left_idle && random() % 4 == 0) {
    expect(all, all.counters.in_flight >= all.counters.limit || all.waiting.empty());
    return;
  }
  pump(all, organisation);
}

bool queue_holds(fault kind) {
  support::random_source random(*rc::gen::arbitrary<std::uint64_t>());
  const auto steps = *rc::gen::inRange(1, 200);
  model all(kind);
  for (int step = 0; step < steps && all.holds; ++step) {
    const auto pick = random() % 10;
    if (pick < 6) {
      offer(all, random);
      continue;
    }
    if (pick < 9) {
      finish_one(all, random);
      continue;
    }
    all.now += support::milliseconds(random() % 12);
    if (kind != fault::late_drop) {
      drop_expired(all.queue, all.counters, all.shown, all.now, all.dropped);
      settle_drops(all);
    }
    for (const auto& call : all.waiting) {
      expect(all, call.drop_at > all.now);
    }
  }
  return all.holds;
}

} // namespace

TEST_CASE("the queue agrees with the oracle on order, shares, use of slots and drop times") {
  CHECK(rc::check([] { RC_ASSERT(queue_holds(fault::none)); }));
}

TEST_CASE("the queue property detects each injected fault") {
  CHECK(found_after("level inverted", [] { return queue_holds(fault::level_inverted); }) > 0);
  CHECK(found_after("share ignored", [] { return queue_holds(fault::share_ignored); }) > 0);
  CHECK(found_after("slot left idle", [] { return queue_holds(fault::slot_left_idle); }) > 0);
  CHECK(found_after("late drop", [] { return queue_holds(fault::late_drop); }) > 0);
}

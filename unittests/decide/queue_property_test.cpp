// Compares the gate and its queue with an oracle that keeps all waiting calls in one list.
#include "acaciasill/decide/wait_queue.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "fault_injection.h"

using namespace acaciasill;
using namespace acaciasill::decide;
using acaciasill::decide::testing::cases_until_failure;

namespace {

// Faults that can be injected.
enum class fault { none, level_inverted, share_ignored, slot_left_idle, late_drop };

constexpr std::uint32_t organisations = 4;

struct oracle_call {
  std::uint64_t handle = 0;
  request_facts request;
  support::time_point drop_at;
};

struct queue_model {
  explicit queue_model(fault kind) : injected(kind) {
    view.organisations = {{0.5, 2.0}, {0.25, 1.0}, {0.125, 1.0}, {0.0, 1.0}};
    view.queue_capacity = 12;
    view.queue_bound = support::milliseconds(30);
    view_under_test = view;
    if (kind == fault::share_ignored) {
      view_under_test.organisations.assign(organisations, {0.0, 1.0});
    }
  }

  fault injected;
  gate counters{organisations, 8};
  gate_view view;
  gate_view view_under_test; // View passed to the code under test.
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

void expect(queue_model& model, bool condition) {
  model.holds = model.holds && condition;
}

// Returns the guaranteed slots of an organisation according to the view.
double guaranteed(const queue_model& model, std::uint32_t organisation) {
  return model.view.organisations[organisation].guaranteed * model.counters.limit;
}

bool under_guarantee(const queue_model& model, std::uint32_t organisation) {
  return model.running[organisation] < guaranteed(model, organisation);
}

void check_next(queue_model& model, const queued_call& next) {
  const auto found = std::find_if(model.waiting.begin(), model.waiting.end(),
                                  [&](const auto& call) { return call.handle == next.handle; });
  expect(model, found != model.waiting.end());
  if (found == model.waiting.end()) {
    return;
  }
  const auto chosen = found->request;
  model.waiting.erase(found);
  unsigned best_rank = rank_of(chosen.level);
  bool any_below_guarantee = false;
  for (const auto& call : model.waiting) {
    const bool same = call.request.organisation == chosen.organisation;
    expect(model, !same || step_of(chosen) <= step_of(call.request));
    expect(model, call.drop_at > model.now);
    any_below_guarantee = any_below_guarantee || under_guarantee(model, call.request.organisation);
    best_rank = std::min<unsigned>(best_rank, rank_of(call.request.level));
  }
  if (!under_guarantee(model, chosen.organisation)) {
    expect(model, !any_below_guarantee);
    expect(model, rank_of(chosen.level) == best_rank);
  }
  ++model.running[chosen.organisation];
}

void settle_drops(queue_model& model) {
  for (const auto& drop : model.dropped) {
    const auto found =
        std::find_if(model.waiting.begin(), model.waiting.end(),
                     [&](const auto& call) { return call.handle == drop.call.handle; });
    if (found != model.waiting.end()) {
      model.waiting.erase(found);
    }
    if (drop.code != support::result_code::queue_full) {
      continue;
    }
    for (const auto& call : model.waiting) {
      const bool same = call.request.organisation == drop.call.request.organisation;
      expect(model, !same || step_of(call.request) <= step_of(drop.call.request));
    }
  }
  model.dropped.clear();
}

void run_queue(queue_model& model, std::optional<std::uint32_t> finished = std::nullopt) {
  while (true) {
    const auto next = next_from_queue(model.queue, model.counters, model.view_under_test, model.now,
                                      model.dropped, finished);
    settle_drops(model);
    if (!next) {
      break;
    }
    check_next(model, *next);
  }
  expect(model, model.counters.in_flight >= model.counters.limit || model.waiting.empty());
  expect(model, size(model.queue) == model.waiting.size());
}

void offer(queue_model& model, support::random_source& random) {
  const request_id id{random(), random()};
  const auto rank = static_cast<std::uint8_t>(random() % 8);
  const auto organisation = static_cast<std::uint32_t>(random() % organisations);
  const request_facts request{id, make_level(rank, random() % 2 == 0, id), organisation,
                              model.now + support::milliseconds(10 + random() % 50)};
  auto seen = request;
  if (model.injected == fault::level_inverted) {
    seen.level = ~request.level;
  }
  const auto decision = admit(model.counters, model.view_under_test, seen, model.now, random);
  expect(model, decision.action != admission::refuse);
  if (decision.action == admission::run) {
    expect(model, model.waiting.empty());
    ++model.running[organisation];
    return;
  }
  const auto handle = ++model.last_handle;
  // A call that enqueue refuses is the last one dropped.
  model.waiting.push_back(
      {handle, request, std::min(model.now + model.view.queue_bound, request.deadline)});
  enqueue(model.queue, model.counters, model.view_under_test, seen, handle, model.now,
          model.dropped);
  for (auto& drop : model.dropped) {
    const auto known =
        std::find_if(model.waiting.begin(), model.waiting.end(),
                     [&](const auto& call) { return call.handle == drop.call.handle; });
    drop.call.request = known == model.waiting.end() ? drop.call.request : known->request;
  }
  settle_drops(model);
  run_queue(model);
}

void finish_one(queue_model& model, support::random_source& random) {
  const auto organisation = static_cast<std::uint32_t>(random() % organisations);
  if (model.running[organisation] == 0) {
    return;
  }
  --model.running[organisation];
  on_cancel(model.counters, organisation);
  if (model.injected == fault::slot_left_idle && random() % 4 == 0) {
    expect(model, model.counters.in_flight >= model.counters.limit || model.waiting.empty());
    return;
  }
  run_queue(model, organisation);
}

bool queue_matches_oracle(fault kind) {
  support::random_source random(*rc::gen::arbitrary<std::uint64_t>());
  const auto steps = *rc::gen::inRange(1, 200);
  queue_model model(kind);
  for (int step = 0; step < steps && model.holds; ++step) {
    const auto pick = random() % 10;
    if (pick < 6) {
      offer(model, random);
      continue;
    }
    if (pick < 9) {
      finish_one(model, random);
      continue;
    }
    model.now += support::milliseconds(random() % 12);
    if (kind != fault::late_drop) {
      drop_expired(model.queue, model.counters, model.view_under_test, model.now, model.dropped);
      settle_drops(model);
    }
    for (const auto& call : model.waiting) {
      expect(model, call.drop_at > model.now);
    }
  }
  return model.holds;
}

} // namespace

TEST_CASE("the queue agrees with the oracle on order, shares, use of slots and drop times") {
  CHECK(rc::check([] { RC_ASSERT(queue_matches_oracle(fault::none)); }));
}

TEST_CASE("the queue property detects each injected fault") {
  CHECK(cases_until_failure("level inverted",
                            [] { return queue_matches_oracle(fault::level_inverted); }) > 0);
  CHECK(cases_until_failure("share ignored",
                            [] { return queue_matches_oracle(fault::share_ignored); }) > 0);
  CHECK(cases_until_failure("slot left idle",
                            [] { return queue_matches_oracle(fault::slot_left_idle); }) > 0);
  CHECK(cases_until_failure("late drop", [] { return queue_matches_oracle(fault::late_drop); }) >
        0);
}

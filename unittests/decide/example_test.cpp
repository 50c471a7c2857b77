// Example of a driver: two nodes in virtual time. The caller's node routes calls to the upstream's
// node, whose backend server runs two calls at once and takes 10 ms for each.
#include "acaciasill/decide/request_path.h"

#include <map>

#include <catch2/catch.hpp>

using namespace acaciasill;
using namespace acaciasill::decide;
using support::milliseconds;

namespace {

struct caller_node {
  route_view route;
  spill_counters spill;
  entry_thresholds thresholds{1, 1};
};

struct upstream_node {
  gate counters{1, 2};
  gate_view view{.organisations = {{1.0, 1.0}}, .queue_capacity = 2};
  wait_queue queue{1, 2};
};

struct simulation {
  support::time_point now{};
  support::random_source random{7};
  caller_node caller;
  upstream_node upstream;
  std::multimap<support::time_point, std::uint64_t> ends; // Running calls by their end time.
  std::vector<dropped_call> dropped;
  int completed = 0;
  int refused = 0;
};

void start(simulation& sim, std::uint64_t handle) {
  sim.ends.emplace(sim.now + milliseconds(10), handle);
}

void run_waiting(simulation& sim) {
  auto& node = sim.upstream;
  while (const auto next =
             next_from_queue(node.queue, node.counters, node.view, sim.now, sim.dropped)) {
    start(sim, next->handle);
  }
}

void call(simulation& sim, std::uint64_t number) {
  const request_id id{0, number};
  const request_facts request{id, make_level(1, false, id), 0, sim.now + milliseconds(100), false};
  if (shed_at_entry(sim.caller.thresholds, 0, 0, request.level, sim.now)) {
    ++sim.refused;
    return;
  }
  const auto target = choose_upstream(sim.caller.route, sim.caller.spill, {}, sim.now, sim.random);
  REQUIRE(target.has_value());
  begin_attempt(*sim.caller.route.upstreams[*target].load);
  auto& node = sim.upstream;
  const auto decision = admit(node.counters, node.view, request, sim.now, sim.random);
  if (decision.action == admission::run) {
    start(sim, number);
    return;
  }
  if (decision.action == admission::wait) {
    enqueue(node.queue, node.counters, node.view, request, number, sim.now, sim.dropped);
    run_waiting(sim);
  }
}

void finish_next(simulation& sim) {
  sim.now = sim.ends.begin()->first;
  sim.ends.erase(sim.ends.begin());
  on_finish(sim.upstream.counters, 0, milliseconds(10));
  ++sim.completed;
  attempt_budget budget(1);
  const reply_facts reply{.threshold = accept_all, .load = {2, 0, 2, 10000}};
  const std::array<std::uint32_t, 1> subjects{0};
  on_reply(*sim.caller.route.upstreams[0].load, sim.caller.thresholds, subjects, budget, reply,
           sim.now);
  run_waiting(sim);
}

} // namespace

TEST_CASE("a driver runs two nodes and six calls in virtual time") {
  simulation sim;
  sim.caller.route.upstreams = {{11, 0, 2, false, std::make_shared<upstream_load>()}};
  sim.caller.route.local_count = 1;
  for (std::uint64_t number = 0; number < 6; ++number) {
    call(sim, number);
  }
  // Two calls run and two wait; the two least important ones are refused at once.
  CHECK(sim.dropped.size() == 2);
  while (!sim.ends.empty()) {
    finish_next(sim);
  }
  CHECK(sim.completed == 4);
  CHECK(sim.now == support::time_point(milliseconds(20)));
  CHECK(sim.upstream.counters.in_flight == 0);
}

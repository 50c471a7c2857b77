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
  gate_view view{.organisations = {{1.0, 1.0}}, .queue_places = 2};
  wait_queue queue{1, 2};
};

struct world {
  support::time_point now{};
  support::random_source random{7};
  caller_node caller;
  upstream_node upstream;
  std::multimap<support::time_point, std::uint64_t> ends; // Running calls by their end time.
  std::vector<dropped_call> dropped;
  int completed = 0;
  int refused = 0;
};

void start(world& all, std::uint64_t handle) {
  all.ends.emplace(all.now + milliseconds(10), handle);
}

void run_waiting(world& all) {
  auto& node = all.upstream;
  while (const auto next =
             next_from_queue(node.queue, node.counters, node.view, all.now, all.dropped)) {
    start(all, next->handle);
  }
}

void call(world& all, std::uint64_t number) {
  const request_id id{0, number};
  const request_facts request{id, make_level(1, false, id), 0, all.now + milliseconds(100), false};
  if (shed_at_entry(all.caller.thresholds, 0, 0, request.level, all.now)) {
    ++all.refused;
    return;
  }
  const auto target = choose_upstream(all.caller.route, all.caller.spill, {}, all.now, all.random);
  REQUIRE(target.has_value());
  begin_attempt(*all.caller.route.upstreams[*target].load);
  auto& node = all.upstream;
  const auto decision = admit(node.counters, node.view, request, all.now, all.random);
  if (decision.action == admission::run) {
    start(all, number);
    return;
  }
  if (decision.action == admission::wait) {
    enqueue(node.queue, node.counters, node.view, request, number, all.now, all.dropped);
    run_waiting(all);
  }
}

void finish_next(world& all) {
  all.now = all.ends.begin()->first;
  all.ends.erase(all.ends.begin());
  on_finish(all.upstream.counters, 0, milliseconds(10));
  ++all.completed;
  attempt_budget budget(1);
  const reply_facts reply{.threshold = accept_all, .load = {2, 0, 2, 10000}};
  const std::array<std::uint32_t, 1> subjects{0};
  on_reply(*all.caller.route.upstreams[0].load, all.caller.thresholds, subjects, budget, reply,
           all.now);
  run_waiting(all);
}

} // namespace

TEST_CASE("a driver runs two nodes and six calls in virtual time") {
  world all;
  all.caller.route.upstreams = {{11, 0, 2, false, std::make_shared<upstream_load>()}};
  all.caller.route.local_count = 1;
  for (std::uint64_t number = 0; number < 6; ++number) {
    call(all, number);
  }
  CHECK(all.dropped.size() ==
        2); // Two calls run and two wait; the two least important ones are refused at once.
  while (!all.ends.empty()) {
    finish_next(all);
  }
  CHECK(all.completed == 4);
  CHECK(all.now == support::time_point(milliseconds(20)));
  CHECK(all.upstream.counters.in_flight == 0);
}

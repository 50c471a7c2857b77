#include "overload_simulation.h"

#include <cmath>

namespace acaciasill::decide::testing {

namespace {

constexpr microseconds hop_latency{500};
constexpr double front_service_us = 2000.0;
constexpr std::uint32_t front_slots = 400;

void at(loop& sim, time_point when, std::function<void()> run) {
  sim.events.push({when, ++sim.last_event, std::move(run)});
}

simulation_bin& bin(loop& sim) {
  const auto index = static_cast<std::size_t>(sim.now.time_since_epoch() / bin_width);
  return sim.results[std::min(index, bins - 1)];
}

bool in_overload(const loop& sim) {
  return sim.now >= overload_start && sim.now < overload_end;
}

double exponential(loop& sim, double mean) {
  return -std::log(1.0 - support::uniform_unit(sim.random)) * mean;
}

void attempt(loop& sim, simulated_request& request);
void finished(loop& sim, std::uint32_t index, simulated_request& request);
void refused(loop& sim, std::uint32_t index, simulated_request& request, const admit_decision& why);

void begin(loop& sim, std::uint32_t index, simulated_request& request) {
  auto& node = *sim.nodes[index];
  bin(sim).starts_of_first += index == 1 ? 1 : 0;
  const double slow = index > 0 && in_overload(sim) ? sim.settings.deep_slowdown : 1.0;
  const double deep_us = sim.settings.deep_work_us / sim.settings.deep_calls;
  const double mean =
      index == 0 ? front_service_us : deep_us * slow / sim.settings.speeds[index - 1];
  auto& slot = *std::min_element(node.slot_free.begin(), node.slot_free.end());
  const auto span = microseconds(static_cast<std::int64_t>(mean / 2 + exponential(sim, mean / 2)));
  slot = std::max(slot, sim.now) + span;
  (index > 0 ? request.started : request.front_started) = sim.now;
  at(sim, slot, [&sim, index, &request] { finished(sim, index, request); });
}

void run_queue(loop& sim, std::uint32_t index, std::optional<std::uint32_t> organisation) {
  auto& node = *sim.nodes[index];
  while (const auto next = next_from_queue(node.queue, node.counters, node.view, sim.now,
                                           sim.dropped, organisation)) {
    begin(sim, index, *sim.requests[next->handle]);
  }
  auto expired = std::move(sim.dropped);
  sim.dropped = {};
  for (const auto& call : expired) {
    const auto why = refuse(node.counters, node.view, call.call.request, call.code, sim.random);
    refused(sim, index, *sim.requests[call.call.handle], why);
  }
}

void offer(loop& sim, std::uint32_t index, simulated_request& request) {
  auto& node = *sim.nodes[index];
  if (index > 0) {
    bin(sim).deep_attempts += 1;
  }
  if (sim.settings.passthrough) {
    node.counters.limit = 1000000;
    take_slot(node.counters, request.facts.organisation, sim.now);
    begin(sim, index, request);
    return;
  }
  const auto decision = admit(node.counters, node.view, request.facts, sim.now, sim.random);
  if (decision.action == admission::run) {
    begin(sim, index, request);
    return;
  }
  if (decision.action == admission::refuse) {
    refused(sim, index, request, decision);
    return;
  }
  enqueue(node.queue, node.counters, node.view, request.facts, request.facts.id.low, sim.now,
          sim.dropped);
  run_queue(sim, index, std::nullopt);
}

void retry_or_fail(loop& sim, simulated_request& request) {
  if (request.attempts > sim.settings.client_retries || sim.now >= request.client_deadline) {
    return;
  }
  auto pause = sim.settings.client_pause;
  if (sim.settings.client_honours_retry_after) {
    const auto flat = static_cast<std::int64_t>(100.0 * (0.5 + support::uniform_unit(sim.random)));
    const std::int64_t advice = sim.settings.advice_grows ? request.retry_after_ms : flat;
    pause = std::max<duration>(pause, milliseconds(advice));
  }
  at(sim, sim.now + pause, [&sim, &request] { attempt(sim, request); });
}

// Processes the front's answer at the entry.
void answered(loop& sim, simulated_request& request, bool useful) {
  record_threshold(sim.thresholds[request.entry], 0, request.facts.organisation, request.threshold,
                   sim.now);
  if (!useful || sim.now > request.facts.deadline) {
    bin(sim).wasted += useful ? 1 : 0;
    retry_or_fail(sim, request);
    return;
  }
  auto& now = bin(sim);
  now.useful += 1;
  now.useful_of_rank[request.rank] += 1;
  now.useful_of_organisation[request.facts.organisation] += 1;
}

void front_done(loop& sim, simulated_request& request, bool useful) {
  auto& front = *sim.nodes[0];
  on_finish(front.counters, request.facts.organisation, sim.now - request.front_started);
  request.threshold = std::min(request.threshold, reply_threshold(front.counters, request.facts));
  bin(sim).wasted += useful ? 0 : 1;
  at(sim, sim.now + hop_latency, [&sim, &request, useful] { answered(sim, request, useful); });
  if (!sim.settings.passthrough) {
    run_queue(sim, 0, request.facts.organisation);
  }
}

load_report report_of(const simulated_node& node) {
  return {node.counters.in_flight, node.counters.waiting, usable_slots(node.counters),
          node.counters.service_time_us};
}

// Sends the front's next call for the request.
void call_deep(loop& sim, simulated_request& request, bool holds_finished_work) {
  const auto target = choose_upstream(sim.route, sim.spill, {}, sim.now, sim.random);
  request.upstream = *target;
  begin_attempt(*sim.route.upstreams[*target].load);
  request.facts.holds_finished_work = holds_finished_work;
  request.facts.level = make_level(request.rank, holds_finished_work, request.facts.id);
  at(sim, sim.now + hop_latency + sim.settings.between_calls,
     [&sim, &request] { offer(sim, request.upstream + 1, request); });
}

void deep_replied(loop& sim, simulated_request& request, level threshold, bool useful) {
  auto& load = *sim.route.upstreams[request.upstream].load;
  attempt_budget budget;
  const reply_facts reply{.organisation = request.facts.organisation,
                          .threshold = threshold,
                          .load = report_of(*sim.nodes[request.upstream + 1])};
  entry_thresholds unused(0, 0);
  on_reply(load, unused, {}, budget, reply, sim.now);
  // The latest reply replaces earlier ones, as in return_to_parent.
  request.threshold = threshold;
  if (useful && --request.calls_left > 0) {
    call_deep(sim, request, true);
    return;
  }
  front_done(sim, request, useful);
}

void finished(loop& sim, std::uint32_t index, simulated_request& request) {
  if (index == 0) {
    request.calls_left = sim.settings.deep_calls;
    call_deep(sim, request, false);
    return;
  }
  auto& node = *sim.nodes[index];
  if (index == 1) {
    record_stated_rate(node.counters.rate,
                       in_overload(sim) ? sim.settings.stated_rate : unlimited_rate, sim.now);
  }
  on_finish(node.counters, request.facts.organisation, sim.now - request.started);
  const auto threshold = reply_threshold(node.counters, request.facts);
  at(sim, sim.now + hop_latency,
     [&sim, &request, threshold] { deep_replied(sim, request, threshold, true); });
  if (!sim.settings.passthrough) {
    run_queue(sim, index, request.facts.organisation);
  }
}

void refused(loop& sim, std::uint32_t index, simulated_request& request,
             const admit_decision& why) {
  request.retry_after_ms = why.retry_after_ms;
  if (index > 0) {
    at(sim, sim.now + hop_latency,
       [&sim, &request, why] { deep_replied(sim, request, why.threshold, false); });
    return;
  }
  request.threshold = why.threshold;
  at(sim, sim.now + hop_latency, [&sim, &request] { answered(sim, request, false); });
}

void attempt(loop& sim, simulated_request& request) {
  if (sim.now >= request.client_deadline) {
    return;
  }
  ++request.attempts;
  bin(sim).entry_attempts += 1;
  request.facts.deadline =
      std::min(sim.now + sim.settings.request_deadline, request.client_deadline);
  request.facts.holds_finished_work = false;
  request.facts.level = make_level(request.rank, false, request.facts.id);
  request.threshold = accept_all;
  if (sim.settings.entry_sheds && !sim.settings.passthrough &&
      shed_at_entry(sim.thresholds[request.entry], 0, request.facts.organisation,
                    request.facts.level, sim.now)) {
    auto& excess = sim.excess[request.facts.organisation];
    record_refused(excess);
    request.retry_after_ms = retry_after_ms(excess, request.rank, sim.random);
    retry_or_fail(sim, request);
    return;
  }
  record_admitted(sim.excess[request.facts.organisation]);
  at(sim, sim.now + hop_latency, [&sim, &request] { offer(sim, 0, request); });
}

void arrive(loop& sim) {
  auto request = std::make_unique<simulated_request>();
  const double pick = support::uniform_unit(sim.random);
  request->facts.organisation =
      pick < sim.organisation_fractions[0]                                   ? 0
      : pick < sim.organisation_fractions[0] + sim.organisation_fractions[1] ? 1
                                                                             : 2;
  const double class_pick = support::uniform_unit(sim.random);
  request->rank = class_pick < 0.05 ? 0 : class_pick < 0.5 ? 2 : 5;
  request->facts.id = {sim.random(), sim.requests.size()};
  request->facts.level = make_level(request->rank, false, request->facts.id);
  request->client_deadline = sim.now + sim.settings.client_timeout;
  request->entry = sim.requests.size() % sim.settings.entries;
  bin(sim).offered += 1;
  bin(sim).offered_of_rank[request->rank] += 1;
  bin(sim).offered_of_organisation[request->facts.organisation] += 1;
  sim.requests.push_back(std::move(request));
  attempt(sim, *sim.requests.back());
  const double load = in_overload(sim) ? sim.settings.demand : sim.settings.baseline_load;
  const auto gap = microseconds(
      static_cast<std::int64_t>(exponential(sim, 1e6 / (capacity_per_s(sim.settings) * load))));
  at(sim, sim.now + gap, [&sim] { arrive(sim); });
}

void control(loop& sim) {
  for (auto& node : sim.nodes) {
    adjust(node->counters, node->view, node->controller);
  }
  for (auto& excess : sim.excess) {
    update_excess(excess);
  }
  at(sim, sim.now + control_period, [&sim] { control(sim); });
}

void control_limits(loop& sim) {
  for (std::size_t index = 1; index < sim.nodes.size(); ++index) {
    auto& node = *sim.nodes[index];
    const auto sample =
        take_limit_sample(node.counters, sim.settings.configured_slots, 0, limit_window);
    const limit_settings tuning{sim.settings.configured_slots, {}};
    node.counters.limit = update_limit(node.limit, tuning, sample, sim.now);
  }
  at(sim, sim.now + limit_window, [&sim] { control_limits(sim); });
}

// Lets a waiting call start when the stated rate allows it.
void arm_permit_timer(loop& sim, std::uint32_t index) {
  auto& node = *sim.nodes[index];
  if (node.permit_timer_armed || size(node.queue) == 0) {
    return;
  }
  if (const auto due = next_permit_time(node.counters.rate, sim.now)) {
    node.permit_timer_armed = true;
    at(sim, *due, [&sim, &node, index] {
      node.permit_timer_armed = false;
      run_queue(sim, index, std::nullopt);
    });
  }
}

} // namespace

double capacity_per_s(const simulation_settings& settings) {
  return deep_upstreams * deep_slots * 1e6 / settings.deep_work_us;
}

loop::loop(const simulation_settings& tried) : settings(tried), random(tried.seed) {
  gate_view view{{{0.5, 1.0}, {0.1, 1.0}, {0.1, 1.0}},
                 tried.queue_bound,
                 tried.queue_target,
                 tried.queue_capacity,
                 tried.threshold_step,
                 tried.recovery_target_fraction};
  nodes.push_back(std::make_unique<simulated_node>(front_slots, front_slots, view));
  for (std::uint32_t index = 0; index < deep_upstreams; ++index) {
    nodes.push_back(std::make_unique<simulated_node>(tried.configured_slots, deep_slots, view));
    route.upstreams.push_back(
        {index + 1U, 0, deep_slots, false, std::make_shared<upstream_load>()});
  }
  route.local_count = tried.local_upstreams;
  route.spill_cap = tried.spill_cap;
  for (std::size_t entry = 0; entry < tried.entries; ++entry) {
    thresholds.emplace_back(1, organisation_count);
  }
}

void run(loop& sim) {
  at(sim, {}, [&sim] { arrive(sim); });
  if (!sim.settings.passthrough) {
    at(sim, time_point(milliseconds(7)), [&sim] { control(sim); });
    at(sim, time_point(limit_window), [&sim] { control_limits(sim); });
  }
  while (!sim.events.empty() && sim.events.top().when < simulation_end) {
    auto next = sim.events.top();
    sim.events.pop();
    sim.now = next.when;
    next.run();
    // Answer calls whose time in the queue has expired.
    for (std::uint32_t index = 0; index < sim.nodes.size() && !sim.settings.passthrough; ++index) {
      if (const auto due = next_drop_time(sim.nodes[index]->queue); due && *due <= sim.now) {
        run_queue(sim, index, std::nullopt);
      }
      arm_permit_timer(sim, index);
    }
  }
}

namespace {

double mean_useful(const loop& sim, double from_s, double to_s) {
  double sum = 0;
  const auto first = static_cast<std::size_t>(from_s * 10);
  const auto last = static_cast<std::size_t>(to_s * 10);
  for (std::size_t index = first; index < last; ++index) {
    sum += sim.results[index].useful;
  }
  return sum / static_cast<double>(last - first) * 10.0 / capacity_per_s(sim.settings);
}

// Returns the useful requests per offered one, which does not depend on random variation of the
// arrivals.
double useful_part(const loop& sim, std::size_t first, std::size_t last) {
  double useful = 0;
  double offered = 0;
  for (std::size_t index = first; index < last; ++index) {
    useful += sim.results[index].useful;
    offered += sim.results[index].offered;
  }
  return useful / std::max(1.0, offered);
}

double recovery_time(const loop& sim) {
  const double before = useful_part(sim, 10, 30);
  for (std::size_t first = bins - 5; first >= 80; --first) {
    if (useful_part(sim, first, first + 5) < 0.95 * before) {
      return static_cast<double>(first + 1 - 80) / 10.0;
    }
  }
  return 0.0;
}

} // namespace

simulation_summary summarise(const loop& sim) {
  simulation_summary sum;
  sum.before = mean_useful(sim, 1, 3);
  sum.under = mean_useful(sim, 4, 8);
  sum.recovery_s = recovery_time(sim);
  double square = 0;
  double useful = 0;
  double important = 0;
  double offered = 0;
  for (std::size_t index = 40; index < 80; ++index) {
    const auto& one = sim.results[index];
    const double part = one.useful * 10.0 / capacity_per_s(sim.settings);
    square += (part - sum.under) * (part - sum.under);
    useful += one.useful;
    sum.wasted += one.wasted;
    sum.important += one.useful_of_rank[0];
    important += one.offered_of_rank[0];
    offered += one.offered;
    sum.entry_attempts += one.entry_attempts;
    sum.amplification += one.deep_attempts;
    for (std::size_t organisation = 0; organisation < organisation_count; ++organisation) {
      sum.organisations[organisation] += one.useful_of_organisation[organisation];
      sum.success[organisation] += one.offered_of_organisation[organisation];
    }
  }
  // Windows begin once the first answers have stated the rate.
  for (std::size_t first = 31; first + 40 <= 80; ++first) {
    double starts = 0;
    for (std::size_t index = first; index < first + 40; ++index) {
      starts += sim.results[index].starts_of_first;
    }
    sum.max_starts_in_4s = std::max(sum.max_starts_in_4s, starts);
  }
  sum.deviation = std::sqrt(square / 40.0);
  sum.wasted /= std::max(1.0, useful);
  sum.amplification /= std::max(1.0, useful);
  sum.entry_attempts /= std::max(1.0, offered);
  sum.important /= std::max(1.0, important);
  for (std::size_t organisation = 0; organisation < organisation_count; ++organisation) {
    auto& part = sum.organisations[organisation];
    sum.success[organisation] = part / std::max(1.0, sum.success[organisation]);
    part /= std::max(1.0, useful);
  }
  return sum;
}

} // namespace acaciasill::decide::testing

#include "overload_loop.h"

#include <cmath>

namespace acaciasill::decide::testing {

namespace {

constexpr microseconds hop{500};
constexpr double front_service_us = 2000.0;
constexpr std::uint32_t front_slots = 400;

void at(loop& all, time_point when, std::function<void()> run) {
  all.events.push({when, ++all.last_event, std::move(run)});
}

loop_bin& bin(loop& all) {
  const auto index = static_cast<std::size_t>(all.now.time_since_epoch() / bin_width);
  return all.results[std::min(index, bins - 1)];
}

bool under_pressure(const loop& all) {
  return all.now >= pressure_start && all.now < pressure_end;
}

double exponential(loop& all, double mean) {
  return -std::log(1.0 - support::uniform_unit(all.random)) * mean;
}

void attempt(loop& all, loop_request& request);
void finished(loop& all, std::uint32_t index, loop_request& request);
void refused(loop& all, std::uint32_t index, loop_request& request, const admit_decision& why);

void begin(loop& all, std::uint32_t index, loop_request& request) {
  auto& node = *all.nodes[index];
  const double slow = index > 0 && under_pressure(all) ? all.settings.slowness : 1.0;
  const double deep_us = all.settings.deep_work_us / all.settings.deep_calls;
  const double mean =
      index == 0 ? front_service_us : deep_us * slow / all.settings.speeds[index - 1];
  auto& slot = *std::min_element(node.slot_free.begin(), node.slot_free.end());
  const auto span = microseconds(static_cast<std::int64_t>(mean / 2 + exponential(all, mean / 2)));
  slot = std::max(slot, all.now) + span;
  (index > 0 ? request.started : request.front_started) = all.now;
  at(all, slot, [&all, index, &request] { finished(all, index, request); });
}

void pump(loop& all, std::uint32_t index, std::optional<std::uint32_t> organisation) {
  auto& node = *all.nodes[index];
  while (const auto next = next_from_queue(node.queue, node.counters, node.view, all.now,
                                           all.dropped, organisation)) {
    begin(all, index, *all.requests[next->handle]);
  }
  auto given_up = std::move(all.dropped);
  all.dropped = {};
  for (const auto& call : given_up) {
    const auto why = refuse(node.counters, node.view, call.call.request, call.code, all.random);
    refused(all, index, *all.requests[call.call.handle], why);
  }
}

void offer(loop& all, std::uint32_t index, loop_request& request) {
  auto& node = *all.nodes[index];
  if (index > 0) {
    bin(all).deep_attempts += 1;
  }
  if (all.settings.passthrough) {
    node.counters.limit = 1000000;
    take_slot(node.counters, request.facts.organisation);
    begin(all, index, request);
    return;
  }
  const auto decision = admit(node.counters, node.view, request.facts, all.now, all.random);
  if (decision.action == admission::run) {
    begin(all, index, request);
    return;
  }
  if (decision.action == admission::refuse) {
    refused(all, index, request, decision);
    return;
  }
  enqueue(node.queue, node.counters, node.view, request.facts, request.facts.id.low, all.now,
          all.dropped);
  pump(all, index, std::nullopt);
}

void retry_or_fail(loop& all, loop_request& request) {
  if (request.attempts > all.settings.client_retries || all.now >= request.given_up) {
    return;
  }
  auto pause = all.settings.client_pause;
  if (all.settings.client_heeds_advice) {
    const auto flat = static_cast<std::int64_t>(100.0 * (0.5 + support::uniform_unit(all.random)));
    const std::int64_t advice = all.settings.advice_grows ? request.retry_after_ms : flat;
    pause = std::max<duration>(pause, milliseconds(advice));
  }
  at(all, all.now + pause, [&all, &request] { attempt(all, request); });
}

// Processes the front's answer at the entry.
void answered(loop& all, loop_request& request, bool useful) {
  learn_threshold(all.thresholds[request.entry], 0, request.facts.organisation, request.threshold,
                  all.now);
  if (!useful || all.now > request.facts.deadline) {
    bin(all).wasted += useful ? 1 : 0;
    retry_or_fail(all, request);
    return;
  }
  auto& now = bin(all);
  now.useful += 1;
  now.useful_of_rank[request.rank] += 1;
  now.useful_of_organisation[request.facts.organisation] += 1;
}

void front_done(loop& all, loop_request& request, bool useful) {
  auto& front = *all.nodes[0];
  on_finish(front.counters, request.facts.organisation, all.now - request.front_started);
  request.threshold = std::min(request.threshold, reply_threshold(front.counters, request.facts));
  bin(all).wasted += useful ? 0 : 1;
  at(all, all.now + hop, [&all, &request, useful] { answered(all, request, useful); });
  if (!all.settings.passthrough) {
    pump(all, 0, request.facts.organisation);
  }
}

load_report report_of(const loop_node& node) {
  return {node.counters.in_flight, node.counters.waiting, node.counters.limit,
          node.counters.service_time_us};
}

// Sends the front's next call for the request.
void call_deep(loop& all, loop_request& request, bool holds_finished_work) {
  const auto target = choose_upstream(all.route, all.spill, {}, all.now, all.random);
  request.upstream = *target;
  begin_attempt(*all.route.upstreams[*target].load);
  request.facts.holds_finished_work = holds_finished_work;
  request.facts.level = make_level(request.rank, holds_finished_work, request.facts.id);
  at(all, all.now + hop + all.settings.between_calls,
     [&all, &request] { offer(all, request.upstream + 1, request); });
}

void deep_replied(loop& all, loop_request& request, level threshold, bool useful) {
  auto& load = *all.route.upstreams[request.upstream].load;
  attempt_budget budget;
  const reply_facts reply{.organisation = request.facts.organisation,
                          .threshold = threshold,
                          .load = report_of(*all.nodes[request.upstream + 1])};
  entry_thresholds unused(0, 0);
  on_reply(load, unused, {}, budget, reply, all.now);
  // The latest reply replaces earlier ones, as in return_to_parent.
  request.threshold = threshold;
  if (useful && --request.calls_left > 0) {
    call_deep(all, request, true);
    return;
  }
  front_done(all, request, useful);
}

void finished(loop& all, std::uint32_t index, loop_request& request) {
  if (index == 0) {
    request.calls_left = all.settings.deep_calls;
    call_deep(all, request, false);
    return;
  }
  auto& node = *all.nodes[index];
  on_finish(node.counters, request.facts.organisation, all.now - request.started);
  const auto threshold = reply_threshold(node.counters, request.facts);
  at(all, all.now + hop,
     [&all, &request, threshold] { deep_replied(all, request, threshold, true); });
  if (!all.settings.passthrough) {
    pump(all, index, request.facts.organisation);
  }
}

void refused(loop& all, std::uint32_t index, loop_request& request, const admit_decision& why) {
  request.retry_after_ms = why.retry_after_ms;
  if (index > 0) {
    at(all, all.now + hop,
       [&all, &request, why] { deep_replied(all, request, why.threshold, false); });
    return;
  }
  request.threshold = why.threshold;
  at(all, all.now + hop, [&all, &request] { answered(all, request, false); });
}

void attempt(loop& all, loop_request& request) {
  if (all.now >= request.given_up) {
    return;
  }
  ++request.attempts;
  bin(all).entry_attempts += 1;
  request.facts.deadline = std::min(all.now + all.settings.request_deadline, request.given_up);
  request.facts.holds_finished_work = false;
  request.facts.level = make_level(request.rank, false, request.facts.id);
  request.threshold = accept_all;
  if (all.settings.entry_sheds && !all.settings.passthrough &&
      shed_at_entry(all.thresholds[request.entry], 0, request.facts.organisation,
                    request.facts.level, all.now)) {
    auto& excess = all.excess[request.facts.organisation];
    note_refused(excess);
    request.retry_after_ms = retry_after_ms(excess, request.rank, all.random);
    retry_or_fail(all, request);
    return;
  }
  note_admitted(all.excess[request.facts.organisation]);
  at(all, all.now + hop, [&all, &request] { offer(all, 0, request); });
}

void arrive(loop& all) {
  auto request = std::make_unique<loop_request>();
  const double pick = support::uniform_unit(all.random);
  request->facts.organisation = pick < all.parts[0]                  ? 0
                                : pick < all.parts[0] + all.parts[1] ? 1
                                                                     : 2;
  const double class_pick = support::uniform_unit(all.random);
  request->rank = class_pick < 0.05 ? 0 : class_pick < 0.5 ? 2 : 5;
  request->facts.id = {all.random(), all.requests.size()};
  request->facts.level = make_level(request->rank, false, request->facts.id);
  request->given_up = all.now + all.settings.client_patience;
  request->entry = all.requests.size() % all.settings.entries;
  bin(all).offered += 1;
  bin(all).offered_of_rank[request->rank] += 1;
  bin(all).offered_of_organisation[request->facts.organisation] += 1;
  all.requests.push_back(std::move(request));
  attempt(all, *all.requests.back());
  const double load = under_pressure(all) ? all.settings.demand : all.settings.calm;
  const auto gap = microseconds(
      static_cast<std::int64_t>(exponential(all, 1e6 / (capacity_per_s(all.settings) * load))));
  at(all, all.now + gap, [&all] { arrive(all); });
}

void control(loop& all) {
  for (auto& node : all.nodes) {
    adjust(node->counters, node->view, node->controller);
  }
  for (auto& excess : all.excess) {
    reduce_excess(excess);
  }
  at(all, all.now + control_period, [&all] { control(all); });
}

void control_limits(loop& all) {
  for (std::size_t index = 1; index < all.nodes.size(); ++index) {
    auto& node = *all.nodes[index];
    const auto sample =
        take_limit_sample(node.counters, all.settings.believed_slots, 0, limit_window);
    const limit_settings tuning{all.settings.believed_slots, {}};
    node.counters.limit = update_limit(node.limit, tuning, sample, all.now);
  }
  at(all, all.now + limit_window, [&all] { control_limits(all); });
}

} // namespace

double capacity_per_s(const loop_settings& settings) {
  return deep_upstreams * deep_slots * 1e6 / settings.deep_work_us;
}

loop::loop(const loop_settings& tried) : settings(tried), random(tried.seed) {
  gate_view view{{{0.5, 1.0}, {0.1, 1.0}, {0.1, 1.0}},
                 tried.queue_bound,
                 tried.queue_target,
                 tried.queue_places,
                 tried.threshold_step,
                 tried.exit_part};
  nodes.push_back(std::make_unique<loop_node>(front_slots, front_slots, view));
  for (std::uint32_t index = 0; index < deep_upstreams; ++index) {
    nodes.push_back(std::make_unique<loop_node>(tried.believed_slots, deep_slots, view));
    route.upstreams.push_back(
        {index + 1U, 0, deep_slots, false, std::make_shared<upstream_load>()});
  }
  route.local_count = tried.local_upstreams;
  route.spill_cap = tried.spill_cap;
  for (std::size_t entry = 0; entry < tried.entries; ++entry) {
    thresholds.emplace_back(1, organisation_count);
  }
}

void run(loop& all) {
  at(all, {}, [&all] { arrive(all); });
  if (!all.settings.passthrough) {
    at(all, time_point(milliseconds(7)), [&all] { control(all); });
    at(all, time_point(limit_window), [&all] { control_limits(all); });
  }
  while (!all.events.empty() && all.events.top().when < loop_end) {
    auto next = all.events.top();
    all.events.pop();
    all.now = next.when;
    next.run();
    // Answer calls whose time in the queue has expired.
    for (std::uint32_t index = 0; index < all.nodes.size() && !all.settings.passthrough; ++index) {
      if (const auto due = next_drop_time(all.nodes[index]->queue); due && *due <= all.now) {
        pump(all, index, std::nullopt);
      }
    }
  }
}

namespace {

double mean_useful(const loop& all, double from_s, double to_s) {
  double sum = 0;
  const auto first = static_cast<std::size_t>(from_s * 10);
  const auto last = static_cast<std::size_t>(to_s * 10);
  for (std::size_t index = first; index < last; ++index) {
    sum += all.results[index].useful;
  }
  return sum / static_cast<double>(last - first) * 10.0 / capacity_per_s(all.settings);
}

// Returns the useful requests per offered one, which does not depend on random variation of the
// arrivals.
double useful_part(const loop& all, std::size_t first, std::size_t last) {
  double useful = 0;
  double offered = 0;
  for (std::size_t index = first; index < last; ++index) {
    useful += all.results[index].useful;
    offered += all.results[index].offered;
  }
  return useful / std::max(1.0, offered);
}

double recovery_time(const loop& all) {
  const double before = useful_part(all, 10, 30);
  for (std::size_t first = bins - 5; first >= 80; --first) {
    if (useful_part(all, first, first + 5) < 0.95 * before) {
      return static_cast<double>(first + 1 - 80) / 10.0;
    }
  }
  return 0.0;
}

} // namespace

loop_summary summarise(const loop& all) {
  loop_summary sum;
  sum.before = mean_useful(all, 1, 3);
  sum.under = mean_useful(all, 4, 8);
  sum.recovery_s = recovery_time(all);
  double square = 0;
  double useful = 0;
  double important = 0;
  double offered = 0;
  for (std::size_t index = 40; index < 80; ++index) {
    const auto& one = all.results[index];
    const double part = one.useful * 10.0 / capacity_per_s(all.settings);
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

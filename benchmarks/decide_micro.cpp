// Measures single decisions and how their cost scales with the numbers of organisations and
// upstreams and with the queue length.
#include <benchmark/benchmark.h>

#include "acaciasill/decide/request_path.h"

namespace {

using namespace acaciasill;
using namespace acaciasill::decide;
using support::milliseconds;

constexpr support::time_point start{milliseconds(5000)};

gate_view make_view(std::uint32_t organisations, std::uint32_t places) {
  gate_view view;
  view.organisations.assign(organisations, {0.5 / organisations, 1.0});
  view.queue_capacity = places;
  view.queue_bound = std::chrono::hours(1);
  return view;
}

request_facts make_request(support::random_source& random, std::uint32_t organisations) {
  const request_id id{random(), random()};
  return {id, make_level(random() % 8, false, id),
          static_cast<std::uint32_t>(random() % organisations), start + std::chrono::hours(2)};
}

std::vector<request_facts> make_requests(support::random_source& random,
                                         std::uint32_t organisations) {
  std::vector<request_facts> requests;
  for (int count = 0; count < 4096; ++count) {
    requests.push_back(make_request(random, organisations));
  }
  return requests;
}

void admission_and_finish(benchmark::State& bench) {
  const auto organisations = static_cast<std::uint32_t>(bench.range(0));
  support::random_source random(1);
  gate counters(organisations, 100);
  const auto view = make_view(organisations, 64);
  const auto requests = make_requests(random, organisations);
  std::size_t next = 0;
  for (auto _ : bench) {
    const auto& request = requests[next++ % requests.size()];
    benchmark::DoNotOptimize(admit(counters, view, request, start, random));
    on_finish(counters, request.organisation, milliseconds(1));
  }
}
BENCHMARK(admission_and_finish)->RangeMultiplier(4)->Range(1, 1024);

void admission_shed(benchmark::State& bench) {
  const auto organisations = static_cast<std::uint32_t>(bench.range(0));
  support::random_source random(1);
  gate counters(organisations, 100);
  for (auto& organisation : counters.organisations) {
    organisation.threshold = 0;
  }
  const auto view = make_view(organisations, 64);
  const auto requests = make_requests(random, organisations);
  std::size_t next = 0;
  for (auto _ : bench) {
    benchmark::DoNotOptimize(
        admit(counters, view, requests[next++ % requests.size()], start, random));
  }
}
BENCHMARK(admission_shed)->Arg(1)->Arg(1024);

// Enqueues and dequeues one call at constant queue length. Arguments: queue length, organisations.
void queue_in_and_out(benchmark::State& bench) {
  const auto length = static_cast<std::uint32_t>(bench.range(0));
  const auto organisations = static_cast<std::uint32_t>(bench.range(1));
  support::random_source random(1);
  gate counters(organisations, 100);
  const auto view = make_view(organisations, length + 1);
  wait_queue queue(organisations, length + 1);
  std::vector<dropped_call> dropped;
  const auto requests = make_requests(random, organisations);
  for (std::uint32_t count = 0; count < length; ++count) {
    enqueue(queue, counters, view, requests[count % requests.size()], count, start, dropped);
  }
  std::size_t next = 0;
  for (auto _ : bench) {
    enqueue(queue, counters, view, requests[next % requests.size()], next, start, dropped);
    ++next;
    const auto call = next_from_queue(queue, counters, view, start, dropped);
    on_cancel(counters, call->request.organisation);
  }
}
BENCHMARK(queue_in_and_out)->ArgsProduct({{1, 16, 64, 256, 1024, 4096}, {8}});
BENCHMARK(queue_in_and_out)->ArgsProduct({{64}, {1, 64, 1024}});

void queue_full(benchmark::State& bench) {
  const auto length = static_cast<std::uint32_t>(bench.range(0));
  support::random_source random(1);
  gate counters(8, 1);
  take_slot(counters, 0, {});
  const auto view = make_view(8, length);
  wait_queue queue(8, length);
  std::vector<dropped_call> dropped;
  const auto requests = make_requests(random, 8);
  std::size_t next = 0;
  for (auto _ : bench) {
    enqueue(queue, counters, view, requests[next % requests.size()], next, start, dropped);
    ++next;
    dropped.clear();
  }
}
BENCHMARK(queue_full)->Arg(64)->Arg(4096);

void route_choice(benchmark::State& bench) {
  route_view view;
  const auto count = static_cast<std::uint32_t>(bench.range(0));
  support::random_source random(1);
  for (std::uint32_t index = 0; index < count; ++index) {
    view.upstreams.push_back({index + 1U, 0, 100, false, std::make_shared<upstream_load>()});
    record_load(*view.upstreams.back().load, {index % 50, 0, 100, 1000}, start);
  }
  view.local_count = count;
  spill_counters spill;
  for (auto _ : bench) {
    benchmark::DoNotOptimize(choose_upstream(view, spill, {}, start, random));
  }
}
BENCHMARK(route_choice)->Arg(3)->Arg(8)->Arg(16)->Arg(32)->Arg(64);

void threshold_learnt(benchmark::State& bench) {
  entry_thresholds table(64, static_cast<std::uint32_t>(bench.range(0)));
  const auto organisations = static_cast<std::uint32_t>(bench.range(0));
  std::uint32_t next = 0;
  for (auto _ : bench) {
    ++next;
    record_threshold(table, next % 64, next % organisations, next << 8U, start);
    benchmark::DoNotOptimize(
        shed_at_entry(table, next % 64, next % organisations, next << 7U, start));
  }
}
BENCHMARK(threshold_learnt)->Arg(1)->Arg(1024);

// Adjusts all thresholds while the threshold controller is closed. The counter per_organisation is
// the time per organisation.
void share_update(benchmark::State& bench) {
  const auto organisations = static_cast<std::uint32_t>(bench.range(0));
  support::random_source random(1);
  gate counters(organisations, 100);
  const auto view = make_view(organisations, 64);
  threshold_controller controller(organisations);
  const auto requests = make_requests(random, organisations);
  for (auto _ : bench) {
    bench.PauseTiming();
    for (const auto& request : requests) {
      auto& state = counters.organisations[request.organisation];
      ++state.arrivals;
      ++state.offered[bucket_of(request.level)];
    }
    controller.open = false;
    controller.budget = 100.0;
    counters.waiting = 10;
    bench.ResumeTiming();
    adjust(counters, view, controller);
  }
  bench.counters["per_organisation"] =
      benchmark::Counter(static_cast<double>(bench.iterations()) * organisations,
                         benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(share_update)->RangeMultiplier(4)->Range(1, 1024);

void duplicate_check_in_and_out(benchmark::State& bench) {
  duplicate_table table(4096);
  std::uint64_t next = 0;
  for (auto _ : bench) {
    ++next;
    const auto call = fingerprint({next, next}, "bonds", "POST", "/deposit/17", "");
    end_call(table, begin_call(table, call));
  }
}
BENCHMARK(duplicate_check_in_and_out);

void parent_of_three_children(benchmark::State& bench) {
  parent_table table(4096);
  std::uint64_t next = 0;
  for (auto _ : bench) {
    const request_id id{++next, next};
    const auto parent = open_parent(table, id, {.lent_attempts = 3, .holds_finished_work = false});
    for (int child = 0; child < 3; ++child) {
      const auto found = find_parent(table, id);
      const auto attempts = borrow_from_parent(table, *found);
      return_to_parent(table, *found, attempts, {.unused_attempts = attempts}, true);
    }
    benchmark::DoNotOptimize(close_parent(table, *parent, 3));
  }
}
BENCHMARK(parent_of_three_children);

void retry_question(benchmark::State& bench) {
  attempt_budget budget(3);
  retry_tokens tokens;
  support::random_source random(1);
  const failed_attempt failed{.code = support::result_code::backend_failed,
                              .subset_size = 8,
                              .deadline = start + std::chrono::hours(1)};
  for (auto _ : bench) {
    earn_retry(tokens, 1.0, start);
    if (may_retry(budget, tokens, failed, start, random).retry) {
      restore_attempt(budget);
    }
  }
}
BENCHMARK(retry_question);

} // namespace

BENCHMARK_MAIN();

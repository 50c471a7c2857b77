// Lookups in a compiled configuration set, and the cost of parsing, checking and compiling a set,
// by number of services.
#include <string>

#include <benchmark/benchmark.h>

#include "acaciasill/model/configuration_set.h"
#include "acaciasill/model/embedded_defaults.h"
#include "acaciasill/model/snapshot.h"

namespace {

using namespace acaciasill::model;

// Builds a set of services with three routes each. The services call each other in chains of ten.
configuration make_set(std::int64_t services) {
  auto set = embedded_defaults();
  for (std::int64_t i = 0; i < services; ++i) {
    const std::string name = "service-" + std::to_string(i);
    service definition;
    definition.name = name;
    definition.limits = "usual";
    definition.default_priority = "normal";
    if (i % 10 != 0) {
      definition.calls = {"service-" + std::to_string(i - 1)};
    }
    set.services.push_back(definition);
    for (const std::string path : {"browse", "lookup", "reserve"}) {
      set.routes.push_back({name + "-" + path, name, {"GET"}, "/" + path, "normal", true, false});
    }
  }
  normalise(set);
  return set;
}

void find_service(benchmark::State& state) {
  const auto compiled = compile_snapshot(make_set(state.range(0))).value();
  const std::string name = "service-" + std::to_string(state.range(0) / 2);
  for (auto _ : state) {
    benchmark::DoNotOptimize(compiled.find_service(name));
  }
}

void classify(benchmark::State& state) {
  const auto compiled = compile_snapshot(make_set(state.range(0))).value();
  const auto index = compiled.find_service("service-1").value();
  for (auto _ : state) {
    benchmark::DoNotOptimize(compiled.classify(index, "GET", "/reserve/7?a=b"));
  }
}

void check_and_compile(benchmark::State& state) {
  const auto set = make_set(state.range(0));
  for (auto _ : state) {
    benchmark::DoNotOptimize(compile_snapshot(set));
  }
}

void parse_canonical(benchmark::State& state) {
  const auto text = serialise(make_set(state.range(0)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(parse_set(text));
  }
  state.counters["bytes"] = static_cast<double>(text.size());
}

BENCHMARK(find_service)->Arg(74)->Arg(740)->Arg(7400);
BENCHMARK(classify)->Arg(74)->Arg(740)->Arg(7400);
BENCHMARK(check_and_compile)->Arg(74)->Arg(740)->Unit(benchmark::kMillisecond);
BENCHMARK(parse_canonical)->Arg(74)->Arg(740)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();

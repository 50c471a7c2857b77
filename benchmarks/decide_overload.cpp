// Prints tables of the behaviour of the decisions under overload, simulated in virtual time with
// the loop of unittests/decide/overload_simulation.h. The results are deterministic for a given
// --seed.
#include "../unittests/decide/overload_simulation.cpp"

#include <cstdio>
#include <cstdlib>
#include <cstring>

using namespace acaciasill::decide::testing;

namespace {

void print_header(const char* title, const char* column) {
  std::printf("\n%s\n\n| %s | before | under | deviation | recovery s | in vain | rank 0 | "
              "deep attempts | entry attempts | org 0 | org 1 | org 2 "
              "|\n|---|---|---|---|---|---|---|---|---|---|---|---|\n",
              title, column);
}

void print_row(const char* label, const simulation_settings& settings) {
  loop simulation(settings);
  run(simulation);
  const auto summary = summarise(simulation);
  std::printf(
      "| %s | %.3f | %.3f | %.3f | %.1f | %.3f | %.4f | %.2f | %.2f | %.2f | %.2f | %.2f |\n",
      label, summary.before, summary.under, summary.deviation, summary.recovery_s, summary.wasted,
      summary.important, summary.amplification, summary.entry_attempts, summary.organisations[0],
      summary.organisations[1], summary.organisations[2]);
  if (std::getenv("DECIDE_OVERLOAD_BINS") != nullptr) {
    for (std::size_t index = 25; index < bins; ++index) {
      std::printf("%.2f ", simulation.results[index].useful * 10.0 / capacity_per_s(settings));
    }
    std::printf("\n");
  }
}

struct overload_scenario {
  const char* label;
  double demand;
  double deep_slowdown;
};

constexpr overload_scenario scenarios[] = {{"demand 2", 2.0, 1.0},
                                           {"demand 10", 10.0, 1.0},
                                           {"demand 1.5, deep 10 times slower", 1.5, 10.0}};

simulation_settings settings_for(const overload_scenario& scenario, std::uint64_t seed) {
  simulation_settings settings;
  settings.demand = scenario.demand;
  settings.deep_slowdown = scenario.deep_slowdown;
  settings.seed = seed;
  return settings;
}

void print_scenarios(std::uint64_t seed) {
  print_header("Scenarios", "case");
  for (const auto& scenario : scenarios) {
    auto settings = settings_for(scenario, seed);
    print_row(scenario.label, settings);
    settings.entry_sheds = false;
    print_row("... nothing shed at the entry", settings);
    settings.passthrough = true;
    print_row("... passthrough", settings);
  }
}

template <class Value, std::size_t Count>
void print_sweep(const char* title, const Value (&values)[Count], std::uint64_t seed,
                 void (*apply)(simulation_settings&, Value)) {
  for (const auto& scenario : scenarios) {
    char head[128];
    std::snprintf(head, sizeof head, "%s: %s", title, scenario.label);
    print_header(head, title);
    for (const auto value : values) {
      auto settings = settings_for(scenario, seed);
      apply(settings, value);
      char label[32];
      std::snprintf(label, sizeof label, "%g", static_cast<double>(value));
      print_row(label, settings);
    }
  }
}

// Clients retry for up to 3 s: immediately, after a constant retry-after time, or after a
// retry-after time that grows.
void print_retry_after(std::uint64_t seed) {
  print_header("Advice to come back", "case");
  for (const auto& scenario : scenarios) {
    auto settings = settings_for(scenario, seed);
    settings.client_timeout = std::chrono::seconds(3);
    settings.client_retries = 100;
    print_row(scenario.label, settings);
    settings.client_honours_retry_after = true;
    settings.advice_grows = false;
    print_row("... heeds a flat advice", settings);
    settings.advice_grows = true;
    print_row("... heeds an advice that grows", settings);
  }
}

} // namespace

int main(int argc, char** argv) {
  std::uint64_t seed = 1;
  if (argc == 3 && std::strcmp(argv[1], "--seed") == 0) {
    seed = std::strtoull(argv[2], nullptr, 10);
  }
  print_scenarios(seed);
  if (std::getenv("DECIDE_OVERLOAD_SHORT") != nullptr) {
    return 0;
  }
  print_retry_after(seed);
  print_sweep(
      "exit part", {0.0, 0.25, 0.5, 0.75, 1.0}, seed,
      +[](simulation_settings& settings, double value) {
        settings.recovery_target_fraction = value;
      });
  print_sweep(
      "threshold step", {0.01, 0.02, 0.05, 0.1, 0.2}, seed,
      +[](simulation_settings& settings, double value) { settings.threshold_step = value; });
  print_sweep(
      "queue bound in ms", {5, 10, 20, 50, 100, 200}, seed,
      +[](simulation_settings& settings, int value) {
        settings.queue_bound = milliseconds(value);
      });
  print_sweep(
      "queue places", {4, 16, 64, 256}, seed, +[](simulation_settings& settings, int value) {
        settings.queue_capacity = static_cast<std::uint32_t>(value);
      });
  print_sweep(
      "queue target in ms", {1, 2, 5, 10}, seed, +[](simulation_settings& settings, int value) {
        settings.queue_target = milliseconds(value);
      });
  return 0;
}

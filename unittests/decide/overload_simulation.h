#ifndef ACACIASILL_UNITTESTS_DECIDE_OVERLOAD_SIMULATION_H
#define ACACIASILL_UNITTESTS_DECIDE_OVERLOAD_SIMULATION_H

#include <functional>
#include <queue>

#include "acaciasill/decide/request_path.h"

// Simulation of overload control in virtual time: clients that retry aggressively, entries, one
// front service, and three upstreams of a deep service.
namespace acaciasill::decide::testing {

using support::duration;
using support::microseconds;
using support::milliseconds;
using support::time_point;

// Parameters of a simulation.
struct simulation_settings {
  double demand = 2.0; // Offered first attempts during the overload, as a multiple of the capacity.
  double baseline_load = 0.7;    // The same before and after the overload.
  double deep_slowdown = 1.0;    // Factor of the deep service time during the overload.
  int deep_calls = 1;            // Sequential calls of the front per request.
  double deep_work_us = 10000.0; // Total service time of these calls.
  duration between_calls{};      // Time spent in other services before each of them.
  std::size_t entries = 1;       // Daemons of callers, each with its own thresholds.
  int client_retries = 10;       // Maximum attempts of one client beyond the first.
  duration client_pause = milliseconds(20);
  duration client_timeout = milliseconds(500);
  bool client_honours_retry_after = false;
  bool advice_grows = true;
  double recovery_target_fraction = 0.5;
  bool passthrough = false;
  bool entry_sheds = true;
  double threshold_step = 0.1;
  duration queue_bound = milliseconds(50);
  duration queue_target = milliseconds(5);
  std::uint32_t queue_capacity = 64;
  std::uint32_t configured_slots = 30;
  duration request_deadline = milliseconds(500);
  std::array<double, 3> speeds{1.0, 1.0, 1.0}; // Relative speeds of the deep upstreams.
  // Rate that the first deep upstream states during the overload, in calls per second.
  double stated_rate = unlimited_rate;
  std::uint32_t local_upstreams = 3; // The first ones; the others are in other data centres.
  double spill_cap = 1.0;
  std::uint64_t seed = 1;
};

inline constexpr std::uint32_t deep_slots = 30;
inline constexpr std::uint32_t deep_upstreams = 3;
// Returns the requests per second that the deep service can serve.
double capacity_per_s(const simulation_settings& settings);
inline constexpr time_point overload_start{std::chrono::seconds(3)};
inline constexpr time_point overload_end{std::chrono::seconds(8)};
inline constexpr time_point simulation_end{std::chrono::seconds(13)};
inline constexpr milliseconds bin_width{100};
inline constexpr std::size_t bins = simulation_end.time_since_epoch() / bin_width;
inline constexpr std::uint32_t organisation_count = 3;

// One request of a client, with all its attempts.
struct simulated_request {
  request_facts facts;
  std::uint8_t rank = 0;
  int attempts = 0;
  time_point client_deadline;
  std::size_t entry = 0;
  std::uint32_t upstream = 0;
  int calls_left = 0;
  time_point front_started;
  time_point started;
  level threshold = accept_all;
  std::uint32_t retry_after_ms = 0;
};

// One daemon with its backend server, which runs `slots` calls at once in order of arrival.
struct simulated_node {
  simulated_node(std::uint32_t first_limit, std::uint32_t slots, const gate_view& settings)
      : counters(organisation_count, first_limit), view(settings), queue(organisation_count, 4096),
        controller(organisation_count), slot_free(slots) {}

  gate counters;
  gate_view view;
  wait_queue queue;
  threshold_controller controller;
  limit_state limit;
  std::vector<time_point> slot_free;
  bool permit_timer_armed = false;
};

// Counts of one time bin.
struct simulation_bin {
  double useful = 0;
  double offered = 0;
  std::array<double, 8> useful_of_rank{};
  std::array<double, 8> offered_of_rank{};
  std::array<double, organisation_count> useful_of_organisation{};
  std::array<double, organisation_count> offered_of_organisation{};
  double wasted =
      0; // Calls that the front ran although the deep service refused them or finished too late.
  double deep_attempts = 0;
  double entry_attempts = 0;
  double starts_of_first = 0; // Calls started at the first deep upstream.
};

// State of the simulation.
struct loop {
  struct event {
    time_point when;
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return std::tie(other.when, other.number) < std::tie(when, number);
    }
  };

  explicit loop(const simulation_settings& tried);

  simulation_settings settings;
  support::random_source random;
  time_point now{};
  std::uint64_t last_event = 0;
  std::priority_queue<event> events;
  std::vector<std::unique_ptr<simulated_request>> requests;
  std::vector<std::unique_ptr<simulated_node>> nodes; // The front, followed by the deep upstreams.
  route_view route;
  spill_counters spill;
  std::vector<entry_thresholds> thresholds; // Thresholds by entry.
  std::array<caller_excess, organisation_count> excess;
  std::vector<dropped_call> dropped;
  std::array<simulation_bin, bins> results{};
  // Fractions of the arrivals by organisation.
  std::array<double, organisation_count> organisation_fractions{0.8, 0.1, 0.1};
};

// Runs the simulation to its end.
void run(loop& sim);

// Results, as fractions of the capacity unless stated otherwise.
struct simulation_summary {
  double before = 0;    // Goodput in the two seconds before the overload.
  double under = 0;     // Goodput in the overload without its first second.
  double deviation = 0; // Standard deviation of the bins of `under`.
  double recovery_s =
      0; // Time from the end of the overload until goodput is and stays at 95% of `before`.
  double wasted = 0;         // Wasted calls at the front in the overload, per useful request.
  double important = 0;      // Fraction of rank 0 requests that succeed in the overload.
  double entry_attempts = 0; // Attempts at the entry per offered request, in the overload.
  double amplification = 0;  // Attempts at the deep service per useful request, in the overload.
  std::array<double, organisation_count>
      organisations{};                              // Fractions of the goodput in the overload.
  std::array<double, organisation_count> success{}; // Useful requests per offered one.
  double max_starts_in_4s = 0; // Calls started at the first deep upstream in the worst 4 s of the
                               // overload.
};
simulation_summary summarise(const loop& sim);

} // namespace acaciasill::decide::testing

#endif

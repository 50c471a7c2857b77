#include "acaciasill/decide/concurrency_limit.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace acaciasill;
using namespace acaciasill::decide;

namespace {

// Model of a backend server under as much load as its limit admits; calls beyond its slots share
// the capacity.
struct loaded_server {
  double slots = 100;
  double service_us = 10000;
  std::uint32_t reported = 100;
  std::uint32_t limit = 100;
  double load = 1000;
  limit_state state{};
  limit_settings settings{100, std::chrono::milliseconds(0)};
  support::time_point now{};

  void run_windows(int count) {
    for (int window = 0; window < count; ++window) {
      now += limit_window;
      const double running = std::min<double>(limit, load);
      const double time_us = service_us * std::max(1.0, running / slots);
      const double finished = running / time_us * 200000.0;
      limit_sample sample;
      sample.reported_slots = reported;
      sample.peak_in_flight = static_cast<std::uint32_t>(running);
      sample.finished = static_cast<std::uint32_t>(finished);
      sample.service_sum_us = static_cast<std::uint64_t>(finished * time_us);
      sample.window = limit_window;
      limit = update_limit(state, settings, sample, now);
    }
  }
};

} // namespace

TEST_CASE("the limit of a server that reports its slots correctly equals them") {
  loaded_server server;
  server.run_windows(50);
  CHECK(server.limit == 100);
}

TEST_CASE("a report that is far too high is bounded by observation") {
  loaded_server server{.slots = 30, .reported = 1000, .limit = 10, .load = 20};
  server.run_windows(10);
  server.load = 1000;
  server.run_windows(50);
  CHECK(server.limit >= 27);
  CHECK(server.limit <= 50);
}

TEST_CASE("a report that is far too low is bounded by the sustained concurrency") {
  loaded_server server;
  server.run_windows(20);
  server.reported = 3;
  server.run_windows(5);
  CHECK(server.limit >= 45);
}

TEST_CASE("an increase of the calls' own service time does not reduce the limit") {
  loaded_server server;
  server.run_windows(20);
  server.service_us = 100000;
  server.run_windows(50);
  CHECK(server.limit >= 75);
  server.service_us = 10000;
  server.run_windows(20);
  CHECK(server.limit == 100);
}

TEST_CASE("a refusal by the server itself reduces the limit at once") {
  limit_state state;
  const limit_settings settings{100, {}};
  const limit_sample shed{.reported_slots = 100, .peak_in_flight = 40, .backend_sheds = 3};
  CHECK(update_limit(state, settings, shed, {}) == 36);
}

TEST_CASE("the limit of a cold server is raised gradually") {
  limit_state state;
  const limit_settings settings{100, support::milliseconds(2000)};
  const limit_sample idle{.reported_slots = 100};
  support::time_point now{};
  CHECK(update_limit(state, settings, idle, now) == 10);
  CHECK(update_limit(state, settings, idle, now + support::milliseconds(1000)) == 55);
  CHECK(update_limit(state, settings, idle, now + support::milliseconds(2000)) == 100);
}

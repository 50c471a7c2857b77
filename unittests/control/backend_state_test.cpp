#include "acaciasill/control/backend_state.h"

#include <catch2/catch.hpp>

using namespace acaciasill::control;
using acaciasill::support::milliseconds;
using acaciasill::support::seconds;
using acaciasill::support::time_point;

namespace {

backend_report report(const std::string& instance, std::uint64_t start_ms, std::uint64_t sequence,
                      bool draining = false) {
  return {instance, start_ms, sequence, "pricing", "127.0.0.1:1", 36, draining, milliseconds(0)};
}

const time_point start{};

} // namespace

TEST_CASE("a delayed report does not cancel a drain") {
  backend_state state;
  CHECK(apply_report(state, report("a", 5, 1), start) == report_effect::new_instance);
  CHECK(apply_report(state, report("a", 5, 3, true), start) == report_effect::started_draining);
  CHECK(apply_report(state, report("a", 5, 2), start) == report_effect::stale);
  CHECK_FALSE(is_serving(state));
  CHECK(apply_report(state, report("a", 5, 4), start) == report_effect::none);
  CHECK_FALSE(is_serving(state));
}

TEST_CASE("a report of an earlier instance does not replace a later one") {
  backend_state state;
  apply_report(state, report("b", 9, 1), start);
  CHECK(apply_report(state, report("a", 5, 70), start) == report_effect::stale);
  CHECK(state.report.instance == "b");
  CHECK(is_serving(state));
}

TEST_CASE("a server restarted with the same identifier is a new instance") {
  backend_state state;
  apply_report(state, report("a", 5, 70), start);
  CHECK(apply_report(state, report("a", 6, 1), start) == report_effect::new_instance);
  CHECK(apply_departure(state, "a", 5) == false);
  CHECK(is_serving(state));
  CHECK(apply_departure(state, "a", 6));
  CHECK_FALSE(is_serving(state));
}

TEST_CASE("the departure of an unknown server takes precedence over its delayed reports") {
  backend_state state;
  CHECK(apply_departure(state, "a", std::nullopt));
  apply_report(state, report("a", 0, 1), start);
  CHECK_FALSE(is_serving(state));
}

TEST_CASE("the leaving state recorded by an earlier process stays in force") {
  backend_state state;
  CHECK(apply_stored_state(state, "a", 5, true));
  apply_report(state, report("a", 5, 8), start);
  CHECK_FALSE(is_serving(state));
  CHECK(apply_report(state, report("b", 9, 1), start) == report_effect::new_instance);
  CHECK(is_serving(state));
}

TEST_CASE("a record of an earlier instance does not affect a later one") {
  backend_state state;
  apply_report(state, report("b", 9, 1), start);
  CHECK_FALSE(apply_stored_state(state, "a", 5, true));
  CHECK(is_serving(state));
}

TEST_CASE("a record read after the first report still marks its instance as leaving") {
  backend_state state;
  apply_report(state, report("a", 5, 8), start);
  CHECK(apply_stored_state(state, "a", 5, true));
  CHECK_FALSE(is_serving(state));
}

TEST_CASE("a server is lost after three requests without a connection, and a report restores it") {
  backend_state state;
  apply_report(state, report("a", 5, 1), start);
  CHECK_FALSE(record_request_result(state, false, start));
  CHECK_FALSE(record_request_result(state, false, start));
  CHECK_FALSE(record_request_result(state, true, start));
  CHECK_FALSE(record_request_result(state, false, start));
  CHECK_FALSE(record_request_result(state, false, start));
  CHECK(record_request_result(state, false, start));
  CHECK_FALSE(is_serving(state));
  CHECK(apply_report(state, report("a", 5, 2), start) == report_effect::reachable_again);
  CHECK(is_serving(state));
}

TEST_CASE("a server without reports is lost, but not while it answers requests") {
  backend_state state;
  apply_report(state, report("a", 5, 1), start);
  record_request_result(state, true, start + seconds(5));
  CHECK_FALSE(check_report_timeout(state, start + seconds(10), seconds(6)));
  CHECK(check_report_timeout(state, start + seconds(12), seconds(6)));
  CHECK_FALSE(is_serving(state));
}

TEST_CASE("a healthy probe restores a lost server without making its next report stale") {
  backend_state state;
  backend_report known;
  known.instance = "i-1";
  known.start_ms = 7;
  known.sequence = 4;
  known.slots = 36;
  state.report = known;
  state.availability = backend_availability::lost;
  apply_healthy_probe(state, "i-1", 0, time_point{});
  CHECK(is_serving(state));
  CHECK(state.report.start_ms == 7);
  CHECK(state.report.slots == 36);
  CHECK(state.report.sequence == 4);
  apply_healthy_probe(state, "i-2", 12, time_point{});
  CHECK(state.report.instance == "i-2");
  CHECK(state.report.start_ms == 0);
  CHECK(state.report.slots == 12);
}

// DRAIN: a new process took a delayed report of a server whose departure its predecessor had
// acknowledged for that of a serving one.
TEST_CASE("a report is held back until it is confirmed if an earlier process may know more") {
  backend_state state;
  held_report held;
  const auto first = report("a", 5, 7);
  REQUIRE(hold_report(held, state, first, true));

  SECTION("a health check that states that the server leaves is final for its delayed reports") {
    CHECK(apply_leaving_probe(state, held, "a"));
    CHECK(state.report.start_ms == 5);
    CHECK_FALSE(held.report.has_value());
    const auto late = report("a", 5, 6);
    CHECK_FALSE(hold_report(held, state, late, true));
    apply_report(state, late, start);
    CHECK_FALSE(is_serving(state));
  }
  SECTION("a healthy health check of the same instance confirms it") {
    CHECK_FALSE(release_report(held, "b").has_value());
    CHECK(release_report(held, "a") == first);
    CHECK_FALSE(held.report.has_value());
  }
  SECTION("so does a later report, but not an earlier one") {
    CHECK(hold_report(held, state, report("a", 5, 6), true));
    CHECK(hold_report(held, state, first, true));
    CHECK_FALSE(hold_report(held, state, report("a", 5, 8), true));
    CHECK_FALSE(held.report.has_value());
  }
  SECTION("an earlier instance does not replace the one that is held") {
    CHECK(hold_report(held, state, report("z", 4, 90), true));
    CHECK(held.report == first);
    CHECK(hold_report(held, state, report("b", 9, 1), true));
    CHECK(held.report->instance == "b");
  }
  SECTION("a server that drains is believed at once") {
    CHECK_FALSE(hold_report(held, state, report("a", 5, 8, true), true));
    CHECK_FALSE(held.report.has_value());
  }
}

TEST_CASE("a report is applied at once if no earlier process can know more") {
  backend_state state;
  held_report held;
  CHECK_FALSE(hold_report(held, state, report("a", 5, 1), false));
  apply_report(state, report("a", 5, 1), start);
  CHECK_FALSE(hold_report(held, state, report("a", 5, 2), true));
  CHECK_FALSE(hold_report(held, state, report("b", 9, 1), true));
}

TEST_CASE("a departure at an unknown time of the server's clock holds its reports back") {
  backend_state state;
  held_report held;
  REQUIRE(apply_departure(state, "a", std::nullopt));
  const auto late = report("a", 5, 7);
  REQUIRE(hold_report(held, state, late, false));
  SECTION("a server that has started again under its identifier serves") {
    REQUIRE(release_report(held, "a") == late);
    CHECK(apply_report(state, late, start) == report_effect::new_instance);
    CHECK(is_serving(state));
  }
  SECTION("one that is still leaving does not, whatever it reports") {
    CHECK_FALSE(apply_leaving_probe(state, held, "a"));
    CHECK_FALSE(hold_report(held, state, late, false));
    CHECK(apply_report(state, late, start) == report_effect::none);
    CHECK_FALSE(is_serving(state));
  }
}

// A deregistration that overtakes the first report of its instance.
TEST_CASE("the departure of a later instance is final for its delayed reports") {
  backend_state state;
  apply_report(state, report("a", 5, 70), start);
  CHECK(apply_departure(state, "b", 9));
  CHECK_FALSE(is_serving(state));
  CHECK(apply_report(state, report("b", 9, 1), start) == report_effect::none);
  CHECK(apply_report(state, report("a", 5, 71), start) == report_effect::stale);
  CHECK_FALSE(is_serving(state));
}

TEST_CASE("a delayed departure does not affect an instance that a health check found since") {
  backend_state state;
  apply_report(state, report("a", 5, 70), start);
  state.availability = backend_availability::lost;
  apply_healthy_probe(state, "b", 36, start);
  CHECK_FALSE(apply_departure(state, "a", 5));
  CHECK(is_serving(state));
  CHECK(state.report.instance == "b");
}

TEST_CASE("a report of an earlier instance does not drop the one that is held") {
  backend_state state;
  held_report held;
  apply_stored_state(state, "a", 5, false);
  REQUIRE(hold_report(held, state, report("b", 9, 1), true));
  CHECK_FALSE(hold_report(held, state, report("z", 4, 90), true));
  CHECK(held.report.has_value());
}

TEST_CASE("a server without a known start that states its leaving is not restored by its row") {
  backend_state state;
  held_report held;
  CHECK_FALSE(apply_stored_state(state, "a", 5, false));
  CHECK(apply_leaving_probe(state, held, "a"));
  CHECK(state.report.start_ms == 5);
  apply_report(state, report("a", 5, 7), start);
  CHECK_FALSE(is_serving(state));
}

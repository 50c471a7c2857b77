#include "acaciasill/control/backend_life.h"

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
  backend_life state;
  CHECK(take_report(state, report("a", 5, 1), start) == report_effect::new_life);
  CHECK(take_report(state, report("a", 5, 3, true), start) == report_effect::leaves);
  CHECK(take_report(state, report("a", 5, 2), start) == report_effect::stale);
  CHECK_FALSE(may_serve(state));
  CHECK(take_report(state, report("a", 5, 4), start) == report_effect::none);
  CHECK_FALSE(may_serve(state));
}

TEST_CASE("a report of an earlier instance does not replace a later one") {
  backend_life state;
  take_report(state, report("b", 9, 1), start);
  CHECK(take_report(state, report("a", 5, 70), start) == report_effect::stale);
  CHECK(state.report.instance == "b");
  CHECK(may_serve(state));
}

TEST_CASE("a server restarted with the same identifier is a new instance") {
  backend_life state;
  take_report(state, report("a", 5, 70), start);
  CHECK(take_report(state, report("a", 6, 1), start) == report_effect::new_life);
  CHECK(take_departure(state, "a", 5) == false);
  CHECK(may_serve(state));
  CHECK(take_departure(state, "a", 6));
  CHECK_FALSE(may_serve(state));
}

TEST_CASE("the departure of an unknown server takes precedence over its delayed reports") {
  backend_life state;
  CHECK(take_departure(state, "a", std::nullopt));
  take_report(state, report("a", 0, 1), start);
  CHECK_FALSE(may_serve(state));
}

TEST_CASE("the leaving state recorded by an earlier process stays in force") {
  backend_life state;
  CHECK(take_record(state, "a", 5, true));
  take_report(state, report("a", 5, 8), start);
  CHECK_FALSE(may_serve(state));
  CHECK(take_report(state, report("b", 9, 1), start) == report_effect::new_life);
  CHECK(may_serve(state));
}

TEST_CASE("a record of an earlier instance does not affect a later one") {
  backend_life state;
  take_report(state, report("b", 9, 1), start);
  CHECK_FALSE(take_record(state, "a", 5, true));
  CHECK(may_serve(state));
}

TEST_CASE("a record read after the first report still marks its instance as leaving") {
  backend_life state;
  take_report(state, report("a", 5, 8), start);
  CHECK(take_record(state, "a", 5, true));
  CHECK_FALSE(may_serve(state));
}

TEST_CASE("a server is lost after three requests without a connection, and a report restores it") {
  backend_life state;
  take_report(state, report("a", 5, 1), start);
  CHECK_FALSE(take_exchange(state, false, start));
  CHECK_FALSE(take_exchange(state, false, start));
  CHECK_FALSE(take_exchange(state, true, start));
  CHECK_FALSE(take_exchange(state, false, start));
  CHECK_FALSE(take_exchange(state, false, start));
  CHECK(take_exchange(state, false, start));
  CHECK_FALSE(may_serve(state));
  CHECK(take_report(state, report("a", 5, 2), start) == report_effect::returned);
  CHECK(may_serve(state));
}

TEST_CASE("a server without reports is lost, but not while it answers requests") {
  backend_life state;
  take_report(state, report("a", 5, 1), start);
  take_exchange(state, true, start + seconds(5));
  CHECK_FALSE(check_silence(state, start + seconds(10), seconds(6)));
  CHECK(check_silence(state, start + seconds(12), seconds(6)));
  CHECK_FALSE(may_serve(state));
}

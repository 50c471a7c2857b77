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

TEST_CASE("a late report does not undo a drain") {
  backend_life life;
  CHECK(take_report(life, report("a", 5, 1), start) == report_effect::new_life);
  CHECK(take_report(life, report("a", 5, 3, true), start) == report_effect::leaves);
  CHECK(take_report(life, report("a", 5, 2), start) == report_effect::stale);
  CHECK_FALSE(may_serve(life));
  CHECK(take_report(life, report("a", 5, 4), start) == report_effect::none);
  CHECK_FALSE(may_serve(life));
}

TEST_CASE("a report of an earlier life does not replace a later one") {
  backend_life life;
  take_report(life, report("b", 9, 1), start);
  CHECK(take_report(life, report("a", 5, 70), start) == report_effect::stale);
  CHECK(life.report.instance == "b");
  CHECK(may_serve(life));
}

TEST_CASE("a server that starts again under its name counts anew") {
  backend_life life;
  take_report(life, report("a", 5, 70), start);
  CHECK(take_report(life, report("a", 6, 1), start) == report_effect::new_life);
  CHECK(take_departure(life, "a", 5) == false);
  CHECK(may_serve(life));
  CHECK(take_departure(life, "a", 6));
  CHECK_FALSE(may_serve(life));
}

TEST_CASE("a departure of a server that was never heard of keeps its late reports out") {
  backend_life life;
  CHECK(take_departure(life, "a", std::nullopt));
  take_report(life, report("a", 0, 1), start);
  CHECK_FALSE(may_serve(life));
}

TEST_CASE("what an earlier process wrote down of a leaving server holds") {
  backend_life life;
  CHECK(take_record(life, "a", 5, true));
  take_report(life, report("a", 5, 8), start);
  CHECK_FALSE(may_serve(life));
  CHECK(take_report(life, report("b", 9, 1), start) == report_effect::new_life);
  CHECK(may_serve(life));
}

TEST_CASE("a record of an earlier life says nothing of a later one") {
  backend_life life;
  take_report(life, report("b", 9, 1), start);
  CHECK_FALSE(take_record(life, "a", 5, true));
  CHECK(may_serve(life));
}

TEST_CASE("a record that comes after the first report still ends the life that it names") {
  backend_life life;
  take_report(life, report("a", 5, 8), start);
  CHECK(take_record(life, "a", 5, true));
  CHECK_FALSE(may_serve(life));
}

TEST_CASE("three requests without a connection lose the server, and a report brings it back") {
  backend_life life;
  take_report(life, report("a", 5, 1), start);
  CHECK_FALSE(take_exchange(life, false, start));
  CHECK_FALSE(take_exchange(life, false, start));
  CHECK_FALSE(take_exchange(life, true, start));
  CHECK_FALSE(take_exchange(life, false, start));
  CHECK_FALSE(take_exchange(life, false, start));
  CHECK(take_exchange(life, false, start));
  CHECK_FALSE(may_serve(life));
  CHECK(take_report(life, report("a", 5, 2), start) == report_effect::returned);
  CHECK(may_serve(life));
}

TEST_CASE("a server is lost by silence, and not while it answers requests") {
  backend_life life;
  take_report(life, report("a", 5, 1), start);
  take_exchange(life, true, start + seconds(5));
  CHECK_FALSE(check_silence(life, start + seconds(10), seconds(6)));
  CHECK(check_silence(life, start + seconds(12), seconds(6)));
  CHECK_FALSE(may_serve(life));
}

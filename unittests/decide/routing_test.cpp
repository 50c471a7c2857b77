#include "acaciasill/decide/routing.h"

#include <algorithm>
#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace acaciasill;
using namespace acaciasill::decide;
using support::milliseconds;

namespace {

struct routing_fixture {
  routing_fixture() {
    for (std::uint64_t id = 1; id <= 6; ++id) {
      view.upstreams.push_back(
          {id, id <= 3 ? 0U : 1U, 10, false, std::make_shared<upstream_load>()});
    }
    view.local_count = 3;
  }

  upstream_load& load(std::size_t index) { return *view.upstreams[index].load; }

  std::map<std::uint32_t, int> choose_many(int count, std::vector<std::uint64_t> tried = {}) {
    std::map<std::uint32_t, int> chosen;
    for (int call = 0; call < count; ++call) {
      const auto index = choose_upstream(view, spill, tried, now, random);
      REQUIRE(index.has_value());
      ++chosen[*index];
    }
    return chosen;
  }

  void fail(std::size_t index) {
    for (int reply = 0; reply < 20; ++reply) {
      record_result(load(index), true, now);
    }
  }

  route_view view;
  spill_counters spill;
  support::time_point now{milliseconds(5000)};
  support::random_source random{3};
};

} // namespace

TEST_CASE_METHOD(routing_fixture, "calls stay in the local data centre while it has room") {
  const auto chosen = choose_many(300);
  CHECK(chosen.size() == 3);
  CHECK(chosen.rbegin()->first == 2);
}

TEST_CASE_METHOD(routing_fixture, "full local upstreams spill to free remote ones up to the cap") {
  for (std::size_t index = 0; index < 3; ++index) {
    record_load(load(index), {10, 5, 10, 1000}, now);
  }
  record_load(load(3), {10, 0, 10, 1000}, now);
  const auto chosen = choose_many(400);
  int remote = 0;
  for (const auto& [index, count] : chosen) {
    remote += index >= 3 ? count : 0;
  }
  CHECK(remote >= 195);
  CHECK(remote <= 205);
}

TEST_CASE_METHOD(routing_fixture, "no call spills to a data centre that is equally full") {
  for (std::size_t index = 0; index < 6; ++index) {
    record_load(load(index), {10, 5, 10, 1000}, now);
  }
  CHECK(choose_many(100).rbegin()->first <= 2);
}

TEST_CASE_METHOD(
    routing_fixture,
    "calls of a kind that is far slower locally go to remote upstreams with spare capacity") {
  constexpr std::uint32_t slow_kind = 3;
  constexpr std::uint32_t other_kind = 4;
  const auto report = [&](std::size_t index, std::uint32_t in_flight, std::uint32_t time_us) {
    record_load(load(index), {in_flight, 0, 10, time_us, slow_kind}, now);
  };
  const auto remote_part = [&](std::uint32_t kind) {
    int remote = 0;
    for (int call = 0; call < 1000; ++call) {
      remote += *choose_upstream(view, spill, {}, now, random, kind) >= 3 ? 1 : 0;
    }
    return remote;
  };
  view.spill_cap = 1.0;
  for (std::size_t index = 0; index < 3; ++index) {
    report(index, 1, 900000);
  }
  SECTION("an unknown remote service time is probed occasionally") {
    CHECK(remote_part(slow_kind) > 0);
    CHECK(remote_part(slow_kind) < 100);
  }
  SECTION("remote upstreams are twice as fast") {
    for (std::size_t index = 3; index < 6; ++index) {
      report(index, 1, 450000);
    }
    CHECK(remote_part(slow_kind) == 1000);
    CHECK(remote_part(other_kind) == 0);
  }
  SECTION("remote upstreams are only slightly faster") {
    for (std::size_t index = 3; index < 6; ++index) {
      report(index, 1, 700000);
    }
    CHECK(remote_part(slow_kind) == 0);
  }
  SECTION("remote upstreams are full") {
    for (std::size_t index = 3; index < 6; ++index) {
      report(index, 9, 450000);
    }
    CHECK(remote_part(slow_kind) == 0);
  }
  SECTION("remote upstreams are fast because they fail") {
    for (std::size_t index = 3; index < 6; ++index) {
      report(index, 1, 1000);
      load(index).failure_fraction = 20000;
    }
    CHECK(remote_part(slow_kind) == 0);
  }
}

TEST_CASE_METHOD(routing_fixture, "an upstream whose server states that it leaves is skipped") {
  for (std::size_t index = 0; index < 5; ++index) {
    load(index).leaving = true;
  }
  CHECK(choose_many(100) == std::map<std::uint32_t, int>{{5, 100}});
  load(5).leaving = true;
  CHECK_FALSE(choose_upstream(view, spill, {}, now, random).has_value());
}

TEST_CASE_METHOD(routing_fixture, "tried and draining upstreams are skipped") {
  view.upstreams[0].draining = true;
  CHECK(choose_many(50, {2}).size() == 1);
  CHECK(choose_many(50, {2}).begin()->first == 2);
  CHECK_FALSE(choose_upstream(view, spill, std::vector<std::uint64_t>{2, 3, 4, 5, 6}, now, random));
}

TEST_CASE_METHOD(routing_fixture, "an outlier is ejected temporarily") {
  fail(1);
  CHECK(choose_many(100).count(1) == 0);
  now += milliseconds(1100);
  CHECK(choose_many(100).count(1) == 1);
}

TEST_CASE_METHOD(routing_fixture,
                 "ejections are capped, and ignored if most of the subset is failing") {
  view.ejection_cap = 0.34; // Allows two of six.
  fail(0);
  fail(1);
  fail(2);
  CHECK(choose_many(100).begin()->first == 2);
  fail(3);
  CHECK(choose_many(100).size() == 3);
}

TEST_CASE_METHOD(routing_fixture, "the less loaded of two upstreams gets more calls") {
  record_load(load(0), {9, 0, 10, 1000}, now);
  record_load(load(1), {1, 0, 10, 1000}, now);
  record_load(load(2), {9, 0, 10, 1000}, now);
  const auto chosen = choose_many(300);
  CHECK(chosen.at(1) > 170);
}

TEST_CASE("an old load report is replaced by local knowledge") {
  upstream one{1, 0, 10, false, std::make_shared<upstream_load>()};
  const support::time_point then{milliseconds(5000)};
  record_load(*one.load, {10, 0, 10, 1000}, then);
  CHECK(load_estimate(one, then) == Approx(1.1));
  CHECK(load_estimate(one, then + milliseconds(500)) == Approx(0.6));
  CHECK(load_estimate(one, then + milliseconds(1000)) == Approx(0.1));
}

TEST_CASE("a subset is bounded, local first, and changes by one where one member leaves") {
  CHECK(rc::check([](std::uint64_t self) {
    std::vector<upstream> members;
    for (std::uint64_t id = 0; id < 30; ++id) {
      members.push_back({id * 7919 + 13, id < 20 ? 0U : 1U, 10, false, nullptr});
    }
    const auto before = choose_subset(members, self, 0, 8);
    RC_ASSERT(before.size() == 16U);
    for (std::size_t position = 0; position < 8; ++position) {
      RC_ASSERT(members[before[position]].data_centre == 0U);
    }
    std::vector<std::uint64_t> ids_before;
    for (const auto index : before) {
      ids_before.push_back(members[index].id);
    }
    members.erase(members.begin() + *rc::gen::inRange(0, 30));
    std::size_t fresh = 0;
    for (const auto index : choose_subset(members, self, 0, 8)) {
      const auto id = members[index].id;
      fresh += std::count(ids_before.begin(), ids_before.end(), id) == 0 ? 1 : 0;
    }
    RC_ASSERT(fresh <= 1U);
  }));
}

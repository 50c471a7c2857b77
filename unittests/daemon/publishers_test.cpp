#include "acaciasill/daemon/publishers.h"

#include <catch2/catch.hpp>

#include "acaciasill/board/call_board.h"

using namespace acaciasill;
using namespace acaciasill::daemon;
using support::seconds;
using support::time_point;

namespace {

control::view_member member(std::uint64_t incarnation) {
  control::view_member result;
  result.name = "n-1";
  result.call_address = "127.0.0.1:1";
  result.data_centre = "dc";
  result.service = "pricing";
  result.incarnation = incarnation;
  return result;
}

// Publishes the members and returns what is known of the first upstream of the service.
std::shared_ptr<decide::upstream_load> publish(board::call_board& board,
                                               routing_publisher& publisher,
                                               std::vector<control::view_member> members,
                                               time_point now) {
  control::cluster_view view;
  view.members = std::move(members);
  publish_routing(board, publisher, view, now);
  const board::rcu_read_guard guard;
  const auto slot = board.services.slot_of("pricing");
  const auto& services = board.routing.read(guard).services;
  return slot < services.size() && !services[slot].route.upstreams.empty()
             ? services[slot].route.upstreams.front().load
             : nullptr;
}

} // namespace

TEST_CASE("what an upstream stated is still known when its daemon has been stopped and started") {
  const board::rcu_reader_thread registration;
  board::call_board board;
  routing_publisher publisher{"n-0", "dc", {}};
  const time_point start{seconds(100)};
  const auto load = publish(board, publisher, {member(7)}, start);
  REQUIRE(load);
  load->stated_rate = 10.0;
  CHECK(publish(board, publisher, {}, start + seconds(1)) == nullptr);
  CHECK(publish(board, publisher, {member(7)}, start + seconds(5)) == load);

  SECTION("another instance at the same address starts anew") {
    CHECK(publish(board, publisher, {member(8)}, start + seconds(6)) != load);
  }
  SECTION("it is forgotten in the end") {
    CHECK(publish(board, publisher, {}, start + seconds(6)) == nullptr);
    CHECK(publish(board, publisher, {}, start + seconds(6) + unlisted_load_lifetime) == nullptr);
    CHECK(publisher.loads.empty());
  }
}

TEST_CASE("a view of coordinators that differs has another version") {
  const board::rcu_reader_thread registration;
  board::call_board board;
  routing_publisher publisher{"n-0", "dc", {}};
  const auto version_of_view = [&board] {
    const board::rcu_read_guard guard;
    return board.coordinators.read(guard).version;
  };
  // The version of the members stays the same when the own entry changes.
  publish(board, publisher, {member(7)}, time_point{});
  const auto first = version_of_view();
  auto other = member(7);
  other.call_address = "127.0.0.1:2";
  publish(board, publisher, {member(7), other}, time_point{});
  const auto second = version_of_view();
  CHECK(second != first);
  publish(board, publisher, {other, member(7)}, time_point{});
  CHECK(version_of_view() == second);
}

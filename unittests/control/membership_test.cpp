#include <set>

#include <catch2/catch.hpp>

#include "acaciasill/control/message_bag.h"

using namespace acaciasill;
using namespace acaciasill::control;
using support::milliseconds;
using support::seconds;

namespace {

// Adds nodes of one data centre, each seeded with those added before it (the first with `seeds`).
// The platform is available but empty.
std::vector<std::string> add_nodes(message_bag& bag, const std::string& data_centre, int count,
                                   const std::vector<std::string>& seeds = {}) {
  std::vector<std::string> addresses;
  for (int index = 0; index < count; ++index) {
    addresses.push_back(bag.add(data_centre, addresses.empty() ? seeds : addresses));
  }
  return addresses;
}

// Drops datagrams between members of the group and all other nodes.
auto partition(std::set<std::string> group) {
  return [group = std::move(group)](const std::string& from, const std::string& to) {
    return group.contains(from) != group.contains(to);
  };
}

const view_member* find_member(const cluster_view& view, const std::string& call_address) {
  for (const auto& known : view.members) {
    if (known.call_address == call_address) {
      return &known;
    }
  }
  return nullptr;
}

} // namespace

TEST_CASE("nodes of one data centre discover each other from one seed") {
  message_bag bag(1);
  add_nodes(bag, "accra", 10);
  CHECK(bag.run_until([&] { return bag.views_agree(); }, seconds(5)));
  for (const auto& [address, node] : bag.nodes()) {
    CHECK(node.largest_datagram <= max_datagram_bytes);
  }
}

TEST_CASE("nodes without seeds discover each other through the table's seed rows") {
  message_bag bag(2);
  bag.add("accra");
  bag.run(seconds(3));
  bag.add("accra");
  bag.add("kumasi");
  CHECK(bag.run_until([&] { return bag.views_agree(); }, seconds(15)));
}

TEST_CASE("nodes of three data centres discover each other") {
  message_bag bag(3);
  const auto accra = add_nodes(bag, "accra", 4);
  add_nodes(bag, "kumasi", 4, {accra[0]});
  add_nodes(bag, "tema", 4, {accra[1]});
  CHECK(bag.run_until([&] { return bag.views_agree(); }, seconds(15)));
}

TEST_CASE("a killed node is detected as dead and rejoins at the same address") {
  message_bag bag(4);
  const auto nodes = add_nodes(bag, "accra", 5);
  bag.run(seconds(5));
  bag.kill(nodes[2]);
  const auto all_know = [&] {
    for (const auto& [address, node] : bag.nodes()) {
      if (node.up && describe_node(*node.state).dead_members != 1) {
        return false;
      }
    }
    return true;
  };
  CHECK(bag.run_until(all_know, seconds(15)));
  CHECK(bag.views_agree());
  bag.start(nodes[2]);
  bag.give(nodes[2], backend_announced{"stock", 100, 750, ""});
  CHECK(bag.run_until([&] { return bag.views_agree(); }, seconds(5)));
  CHECK(describe_node(*bag.at(nodes[2]).state).self.incarnation > 2);
}

TEST_CASE("a restart before failure detection replaces the earlier record") {
  message_bag bag(5);
  const auto nodes = add_nodes(bag, "accra", 5);
  bag.run(seconds(5));
  bag.kill(nodes[2]);
  bag.start(nodes[2]);
  bag.give(nodes[2], backend_announced{"spares", 50, 300, ""});
  const auto sees_new_service = [&] {
    const auto* known = find_member(bag.at(nodes[0]).view, bag.at(nodes[2]).settings.call_address);
    return known != nullptr && known->service == "spares";
  };
  CHECK(bag.run_until(sees_new_service, seconds(5)));
}

TEST_CASE("a paused node refutes its death after resuming and suspects no peer") {
  message_bag bag(6);
  const auto nodes = add_nodes(bag, "accra", 6);
  bag.run(seconds(6));
  const auto incarnation = describe_node(*bag.at(nodes[1]).state).self.incarnation;
  bag.pause(nodes[1]);
  bag.run(seconds(12));
  CHECK(describe_node(*bag.at(nodes[0]).state).dead_members == 1);
  bag.resume(nodes[1]);
  CHECK(describe_node(*bag.at(nodes[1]).state).self.incarnation > incarnation);
  CHECK(describe_node(*bag.at(nodes[1]).state).suspect_members == 0);
  CHECK_FALSE(bag.at(nodes[1]).view.confirmed);
  CHECK(bag.run_until([&] { return bag.views_agree(); }, seconds(5)));
  CHECK(bag.at(nodes[1]).view.confirmed);
}

TEST_CASE("a resumed holder of a seed row does not write before refreshing its state") {
  message_bag bag(7);
  const auto nodes = add_nodes(bag, "accra", 3);
  bag.run(seconds(15));
  REQUIRE(bag.platform.rows.size() == 3);
  bag.pause(nodes[0]);
  bag.run(seconds(20));
  const auto rows = bag.platform.rows;
  const auto writes = bag.platform.writes;
  bag.drops = partition({nodes[0]});
  bag.resume(nodes[0]);
  bag.run(milliseconds(200));
  CHECK(bag.platform.writes == writes);
  CHECK(bag.platform.rows == rows);
}

TEST_CASE("a paused bridge node neither blocks updates nor makes a data centre unreachable") {
  message_bag bag(16);
  const auto accra = add_nodes(bag, "accra", 5);
  const auto kumasi = add_nodes(bag, "kumasi", 5, {accra[0]});
  REQUIRE(bag.run_until([&] { return bag.views_agree(); }, seconds(15)));
  std::string holder;
  for (const auto& address : accra) {
    const auto bridged = describe_node(*bag.at(address).state).bridged_data_centres;
    if (!bridged.empty()) {
      holder = address;
    }
  }
  REQUIRE_FALSE(holder.empty());
  bag.pause(holder);
  // Sent immediately, while the other nodes still rely on the paused holder.
  const std::string leaver = kumasi[1];
  bag.give(leaver, backend_reported{100, 750, true});
  const auto all_know = [&] {
    for (const auto& [address, node] : bag.nodes()) {
      const auto* known = find_member(node.view, bag.at(leaver).settings.call_address);
      if (!node.paused && (known == nullptr || !known->draining)) {
        return false;
      }
    }
    return true;
  };
  CHECK(bag.run_until(all_know, seconds(2)));
  bag.run(seconds(15));
  for (const auto& known : bag.at(kumasi[0]).view.members) {
    const bool is_holder = known.call_address == bag.at(holder).settings.call_address;
    CHECK((is_holder || !known.suspect));
  }
  bag.resume(holder);
  CHECK(bag.run_until([&] { return bag.views_agree(); }, seconds(5)));
}

TEST_CASE("two partitions of a data centre converge within 5 s after healing") {
  message_bag bag(8);
  const auto nodes = add_nodes(bag, "accra", 8);
  bag.run(seconds(6));
  bag.drops = partition({nodes[0], nodes[1], nodes[2]});
  bag.run(seconds(60));
  CHECK(describe_node(*bag.at(nodes[0]).state).dead_members == 5);
  bag.drops = nullptr;
  CHECK(bag.run_until([&] { return bag.views_agree(); }, seconds(5)));
}

TEST_CASE(
    "partitioned data centres mark each other unreachable and converge within 5 s after healing") {
  message_bag bag(9);
  const auto accra = add_nodes(bag, "accra", 5);
  const auto kumasi = add_nodes(bag, "kumasi", 5, {accra[0]});
  REQUIRE(bag.run_until([&] { return bag.views_agree(); }, seconds(15)));
  bag.drops = partition({accra.begin(), accra.end()});
  bag.platform.away = true;
  bag.run(seconds(30));
  for (const auto& known : bag.at(accra[0]).view.members) {
    CHECK(known.suspect == (known.data_centre == "kumasi"));
  }
  // Meanwhile a member of one side is killed and a new one joins the other side.
  bag.kill(kumasi[0]);
  bag.add("accra", {accra[0]});
  bag.run(seconds(30));
  bag.drops = nullptr;
  CHECK(bag.run_until([&] { return bag.views_agree(); }, seconds(5)));
}

TEST_CASE("a draining member is known on all nodes within 2 s") {
  message_bag bag(10);
  const auto accra = add_nodes(bag, "accra", 20);
  add_nodes(bag, "kumasi", 20, {accra[0]});
  REQUIRE(bag.run_until([&] { return bag.views_agree(); }, seconds(20)));
  bag.give(accra[3], backend_reported{100, 750, true});
  const auto all_know = [&] {
    for (const auto& [address, node] : bag.nodes()) {
      const auto* known = find_member(node.view, bag.at(accra[3]).settings.call_address);
      if (known == nullptr || !known->draining) {
        return false;
      }
    }
    return true;
  };
  CHECK(bag.run_until(all_know, seconds(2)));
}

TEST_CASE("a drain is known within 2 s with 10% datagram loss") {
  message_bag bag(11);
  const auto accra = add_nodes(bag, "accra", 20);
  REQUIRE(bag.run_until([&] { return bag.views_agree(); }, seconds(20)));
  bag.loss = 0.1;
  bag.give(accra[3], shutdown_requested{});
  CHECK(bag.at(accra[3]).view.leaving);
  const auto all_know = [&] {
    for (const auto& [address, node] : bag.nodes()) {
      const auto* known = find_member(node.view, bag.at(accra[3]).settings.call_address);
      if (known != nullptr && !known->draining) {
        return false;
      }
    }
    return true;
  };
  CHECK(bag.run_until(all_know, seconds(2)));
}

TEST_CASE("a leaving node exits only with no calls in flight and is then absent from all views") {
  message_bag bag(12);
  const auto nodes = add_nodes(bag, "accra", 5);
  bag.run(seconds(6));
  bag.give(nodes[1], shutdown_requested{});
  bag.give(nodes[1], in_flight_reported{2});
  bag.run(seconds(20));
  CHECK_FALSE(bag.at(nodes[1]).exited);
  bag.give(nodes[1], in_flight_reported{0});
  CHECK(bag.run_until([&] { return bag.at(nodes[1]).exited; }, seconds(1)));
  CHECK(bag.run_until([&] { return bag.views_agree(); }, seconds(2)));
  CHECK(describe_node(*bag.at(nodes[0]).state).dead_members == 0);
}

TEST_CASE("the last member of a data centre announces its leave to other data centres") {
  message_bag bag(13);
  const auto accra = add_nodes(bag, "accra", 2);
  const auto kumasi = add_nodes(bag, "kumasi", 1, {accra[0]});
  REQUIRE(bag.run_until([&] { return bag.views_agree(); }, seconds(15)));
  bag.give(kumasi[0], shutdown_requested{});
  bag.give(kumasi[0], in_flight_reported{0});
  CHECK(bag.run_until([&] { return bag.at(kumasi[0]).exited; }, seconds(3)));
  CHECK(bag.run_until([&] { return bag.views_agree(); }, seconds(2)));
}

TEST_CASE("datagram loss and duplication cause no member to be declared dead") {
  message_bag bag(14);
  add_nodes(bag, "accra", 10);
  bag.run(seconds(6));
  bag.loss = 0.05;
  bag.duplication = 0.3;
  bag.run(seconds(60));
  for (const auto& [address, node] : bag.nodes()) {
    CHECK(describe_node(*node.state).dead_members == 0);
  }
}

TEST_CASE("malformed datagrams neither change the view nor throw") {
  message_bag bag(15);
  const auto nodes = add_nodes(bag, "accra", 3);
  bag.run(seconds(6));
  member forged = describe_node(*bag.at(nodes[1]).state).self;
  forged.incarnation = 1ULL << 60U;
  forged.state = member_state::dead;
  member empty_record;
  member oversized = forged;
  oversized.incarnation = 99;
  oversized.name = std::string(100000, 'x');
  datagram hostile;
  hostile.sender_incarnation = ~0ULL;
  hostile.configuration_generation = ~0ULL;
  hostile.updates = {forged, empty_record, oversized};
  const std::string stranger = "127.0.0.9:1";
  const std::vector<message_body> bodies = {
      probe{1},
      probe_ack{1},
      indirect_probe{1, nodes[0]},
      sync_digest{std::string(9000, 'y'), {{std::string(9000, 'z'), 1, 1}}},
      bucket_digests{"accra", {1, 2, 3}},
      sync_records{"nowhere", ~0U, true},
      page_request{std::string(9000, 'q')},
      page{"zzz"},
      configuration_query{},
      configuration_offer{~0ULL, "no digest"},
      chunk_request{"", "", ~0U},
      chunk{"", "", ~0U, ~0U, ~0U, ~0U, std::string(5000, 'c')}};
  for (const auto& body : bodies) {
    hostile.body = body;
    bag.give(nodes[0], peer_received{stranger, hostile});
  }
  bag.run(seconds(10));
  CHECK(bag.views_agree());
  CHECK(bag.at(nodes[0]).configuration.generation == 0);
}

TEST_CASE("a backward clock jump does not move a node's time back") {
  const auto settings = [] {
    node_settings chosen;
    chosen.data_centre = "accra";
    chosen.gossip_address = "127.0.0.1:1";
    chosen.call_address = "127.0.0.1:2";
    return chosen;
  }();
  const auto state = make_node(settings);
  support::random_source random(1);
  std::vector<action> actions;
  const support::time_point begin{seconds(100)};
  step(*state, node_started{}, begin, random, actions);
  step(*state, timer_fired{}, begin + milliseconds(200), random, actions);
  actions.clear();
  step(*state, timer_fired{}, begin - seconds(50), random, actions);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<set_timer>(actions[0]).at == begin + milliseconds(300));
}

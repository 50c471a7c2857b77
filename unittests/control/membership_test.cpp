#include <set>

#include <catch2/catch.hpp>

#include "acaciasill/control/simulated_cluster.h"

using namespace acaciasill;
using namespace acaciasill::control;
using support::milliseconds;
using support::seconds;

namespace {

// Adds nodes of one data centre, each seeded with those added before it (the first with `seeds`).
// The platform is available but empty.
std::vector<std::string> add_nodes(simulated_cluster& cluster, const std::string& data_centre,
                                   int count, const std::vector<std::string>& seeds = {}) {
  std::vector<std::string> addresses;
  for (int index = 0; index < count; ++index) {
    addresses.push_back(cluster.add(data_centre, addresses.empty() ? seeds : addresses));
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
  simulated_cluster cluster(1);
  add_nodes(cluster, "accra", 10);
  CHECK(cluster.run_until([&] { return cluster.views_agree(); }, seconds(5)));
  for (const auto& [address, node] : cluster.nodes()) {
    CHECK(node.largest_datagram <= max_datagram_bytes);
  }
}

TEST_CASE("nodes without seeds discover each other through the table's seed rows") {
  simulated_cluster cluster(2);
  cluster.add("accra");
  cluster.run(seconds(3));
  cluster.add("accra");
  cluster.add("kumasi");
  CHECK(cluster.run_until([&] { return cluster.views_agree(); }, seconds(15)));
}

TEST_CASE("nodes of three data centres discover each other") {
  simulated_cluster cluster(3);
  const auto accra = add_nodes(cluster, "accra", 4);
  add_nodes(cluster, "kumasi", 4, {accra[0]});
  add_nodes(cluster, "tema", 4, {accra[1]});
  CHECK(cluster.run_until([&] { return cluster.views_agree(); }, seconds(15)));
}

TEST_CASE("a killed node is detected as dead and rejoins at the same address") {
  simulated_cluster cluster(4);
  const auto nodes = add_nodes(cluster, "accra", 5);
  cluster.run(seconds(5));
  cluster.kill(nodes[2]);
  const auto all_know = [&] {
    for (const auto& [address, node] : cluster.nodes()) {
      if (node.up && describe_node(*node.state).dead_members != 1) {
        return false;
      }
    }
    return true;
  };
  CHECK(cluster.run_until(all_know, seconds(15)));
  CHECK(cluster.views_agree());
  cluster.start(nodes[2]);
  cluster.deliver(nodes[2], backend_announced{"stock", 100, 750, ""});
  CHECK(cluster.run_until([&] { return cluster.views_agree(); }, seconds(5)));
  CHECK(describe_node(*cluster.at(nodes[2]).state).self.incarnation > 2);
}

TEST_CASE("a restart before failure detection replaces the earlier record") {
  simulated_cluster cluster(5);
  const auto nodes = add_nodes(cluster, "accra", 5);
  cluster.run(seconds(5));
  cluster.kill(nodes[2]);
  cluster.start(nodes[2]);
  cluster.deliver(nodes[2], backend_announced{"spares", 50, 300, ""});
  const auto sees_new_service = [&] {
    const auto* known =
        find_member(cluster.at(nodes[0]).view, cluster.at(nodes[2]).settings.call_address);
    return known != nullptr && known->service == "spares";
  };
  CHECK(cluster.run_until(sees_new_service, seconds(5)));
}

TEST_CASE("a paused node refutes its death after resuming and suspects no peer") {
  simulated_cluster cluster(6);
  const auto nodes = add_nodes(cluster, "accra", 6);
  cluster.run(seconds(6));
  const auto incarnation = describe_node(*cluster.at(nodes[1]).state).self.incarnation;
  cluster.pause(nodes[1]);
  cluster.run(seconds(12));
  CHECK(describe_node(*cluster.at(nodes[0]).state).dead_members == 1);
  cluster.resume(nodes[1]);
  CHECK(describe_node(*cluster.at(nodes[1]).state).self.incarnation > incarnation);
  CHECK(describe_node(*cluster.at(nodes[1]).state).suspect_members == 0);
  CHECK_FALSE(cluster.at(nodes[1]).view.confirmed);
  CHECK(cluster.run_until([&] { return cluster.views_agree(); }, seconds(5)));
  CHECK(cluster.at(nodes[1]).view.confirmed);
}

TEST_CASE("a resumed holder of a seed row does not write before refreshing its state") {
  simulated_cluster cluster(7);
  const auto nodes = add_nodes(cluster, "accra", 3);
  cluster.run(seconds(15));
  REQUIRE(cluster.platform.rows.size() == 3);
  cluster.pause(nodes[0]);
  cluster.run(seconds(20));
  const auto rows = cluster.platform.rows;
  const auto writes = cluster.platform.writes;
  cluster.drops = partition({nodes[0]});
  cluster.resume(nodes[0]);
  cluster.run(milliseconds(200));
  CHECK(cluster.platform.writes == writes);
  CHECK(cluster.platform.rows == rows);
}

TEST_CASE("a paused bridge node neither blocks updates nor makes a data centre unreachable") {
  simulated_cluster cluster(16);
  const auto accra = add_nodes(cluster, "accra", 5);
  const auto kumasi = add_nodes(cluster, "kumasi", 5, {accra[0]});
  REQUIRE(cluster.run_until([&] { return cluster.views_agree(); }, seconds(15)));
  std::string holder;
  for (const auto& address : accra) {
    const auto bridged = describe_node(*cluster.at(address).state).bridged_data_centres;
    if (!bridged.empty()) {
      holder = address;
    }
  }
  REQUIRE_FALSE(holder.empty());
  cluster.pause(holder);
  // Sent immediately, while the other nodes still rely on the paused holder.
  const std::string leaver = kumasi[1];
  cluster.deliver(leaver, backend_reported{100, 750, true});
  const auto all_know = [&] {
    for (const auto& [address, node] : cluster.nodes()) {
      const auto* known = find_member(node.view, cluster.at(leaver).settings.call_address);
      if (!node.paused && (known == nullptr || !known->draining)) {
        return false;
      }
    }
    return true;
  };
  CHECK(cluster.run_until(all_know, seconds(2)));
  cluster.run(seconds(15));
  for (const auto& known : cluster.at(kumasi[0]).view.members) {
    const bool is_holder = known.call_address == cluster.at(holder).settings.call_address;
    CHECK((is_holder || !known.suspect));
  }
  cluster.resume(holder);
  CHECK(cluster.run_until([&] { return cluster.views_agree(); }, seconds(5)));
}

TEST_CASE("two partitions of a data centre converge within 5 s after healing") {
  simulated_cluster cluster(8);
  const auto nodes = add_nodes(cluster, "accra", 8);
  cluster.run(seconds(6));
  cluster.drops = partition({nodes[0], nodes[1], nodes[2]});
  cluster.run(seconds(60));
  CHECK(describe_node(*cluster.at(nodes[0]).state).dead_members == 5);
  cluster.drops = nullptr;
  CHECK(cluster.run_until([&] { return cluster.views_agree(); }, seconds(5)));
}

TEST_CASE(
    "partitioned data centres mark each other unreachable and converge within 5 s after healing") {
  simulated_cluster cluster(9);
  const auto accra = add_nodes(cluster, "accra", 5);
  const auto kumasi = add_nodes(cluster, "kumasi", 5, {accra[0]});
  REQUIRE(cluster.run_until([&] { return cluster.views_agree(); }, seconds(15)));
  cluster.drops = partition({accra.begin(), accra.end()});
  cluster.platform.unavailable = true;
  cluster.run(seconds(30));
  for (const auto& known : cluster.at(accra[0]).view.members) {
    CHECK(known.suspect == (known.data_centre == "kumasi"));
  }
  // Meanwhile a member of one side is killed and a new one joins the other side.
  cluster.kill(kumasi[0]);
  cluster.add("accra", {accra[0]});
  cluster.run(seconds(30));
  cluster.drops = nullptr;
  CHECK(cluster.run_until([&] { return cluster.views_agree(); }, seconds(5)));
}

TEST_CASE("a draining member is known on all nodes within 2 s") {
  simulated_cluster cluster(10);
  const auto accra = add_nodes(cluster, "accra", 20);
  add_nodes(cluster, "kumasi", 20, {accra[0]});
  REQUIRE(cluster.run_until([&] { return cluster.views_agree(); }, seconds(20)));
  cluster.deliver(accra[3], backend_reported{100, 750, true});
  const auto all_know = [&] {
    for (const auto& [address, node] : cluster.nodes()) {
      const auto* known = find_member(node.view, cluster.at(accra[3]).settings.call_address);
      if (known == nullptr || !known->draining) {
        return false;
      }
    }
    return true;
  };
  CHECK(cluster.run_until(all_know, seconds(2)));
}

TEST_CASE("a drain is known within 2 s with 10% datagram loss") {
  simulated_cluster cluster(11);
  const auto accra = add_nodes(cluster, "accra", 20);
  REQUIRE(cluster.run_until([&] { return cluster.views_agree(); }, seconds(20)));
  cluster.loss = 0.1;
  cluster.deliver(accra[3], shutdown_requested{});
  CHECK(cluster.at(accra[3]).view.leaving);
  const auto all_know = [&] {
    for (const auto& [address, node] : cluster.nodes()) {
      const auto* known = find_member(node.view, cluster.at(accra[3]).settings.call_address);
      if (known != nullptr && !known->draining) {
        return false;
      }
    }
    return true;
  };
  CHECK(cluster.run_until(all_know, seconds(2)));
}

TEST_CASE("a leaving node exits only with no calls in flight and is then absent from all views") {
  simulated_cluster cluster(12);
  const auto nodes = add_nodes(cluster, "accra", 5);
  cluster.run(seconds(6));
  cluster.deliver(nodes[1], shutdown_requested{});
  cluster.deliver(nodes[1], in_flight_reported{2});
  cluster.run(seconds(20));
  CHECK_FALSE(cluster.at(nodes[1]).exited);
  cluster.deliver(nodes[1], in_flight_reported{0});
  CHECK(cluster.run_until([&] { return cluster.at(nodes[1]).exited; }, seconds(1)));
  CHECK(cluster.run_until([&] { return cluster.views_agree(); }, seconds(2)));
  CHECK(describe_node(*cluster.at(nodes[0]).state).dead_members == 0);
}

TEST_CASE("the last member of a data centre announces its leave to other data centres") {
  simulated_cluster cluster(13);
  const auto accra = add_nodes(cluster, "accra", 2);
  const auto kumasi = add_nodes(cluster, "kumasi", 1, {accra[0]});
  REQUIRE(cluster.run_until([&] { return cluster.views_agree(); }, seconds(15)));
  cluster.deliver(kumasi[0], shutdown_requested{});
  cluster.deliver(kumasi[0], in_flight_reported{0});
  CHECK(cluster.run_until([&] { return cluster.at(kumasi[0]).exited; }, seconds(3)));
  CHECK(cluster.run_until([&] { return cluster.views_agree(); }, seconds(2)));
}

TEST_CASE("datagram loss and duplication cause no member to be declared dead") {
  simulated_cluster cluster(14);
  add_nodes(cluster, "accra", 10);
  cluster.run(seconds(6));
  cluster.loss = 0.05;
  cluster.duplication = 0.3;
  cluster.run(seconds(60));
  for (const auto& [address, node] : cluster.nodes()) {
    CHECK(describe_node(*node.state).dead_members == 0);
  }
}

TEST_CASE("malformed datagrams neither change the view nor throw") {
  simulated_cluster cluster(15);
  const auto nodes = add_nodes(cluster, "accra", 3);
  cluster.run(seconds(6));
  member forged = describe_node(*cluster.at(nodes[1]).state).self;
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
  const std::string unknown_peer = "127.0.0.9:1";
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
    cluster.deliver(nodes[0], peer_received{unknown_peer, hostile});
  }
  cluster.run(seconds(10));
  CHECK(cluster.views_agree());
  CHECK(cluster.at(nodes[0]).configuration.generation == 0);
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

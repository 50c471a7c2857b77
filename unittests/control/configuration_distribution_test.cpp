#include <set>

#include <catch2/catch.hpp>

#include "acaciasill/control/configuration_head.h"
#include "acaciasill/control/simulated_cluster.h"
#include "acaciasill/support/hash.h"

using namespace acaciasill;
using namespace acaciasill::control;
using support::milliseconds;
using support::seconds;

namespace {

// A text the size of a small set of objects, with one number that varies.
std::string make_object(int number, std::size_t lines = 300) {
  std::string text;
  for (std::size_t line = 0; line < lines; ++line) {
    text += "object " + std::to_string(line) + " has nothing new to say\n";
  }
  return text + "change " + std::to_string(number) + "\n" + text;
}

std::vector<std::string> add_nodes(simulated_cluster& cluster, const std::string& data_centre,
                                   int count, const std::vector<std::string>& seeds = {}) {
  std::vector<std::string> addresses;
  for (int index = 0; index < count; ++index) {
    addresses.push_back(cluster.add(data_centre, addresses.empty() ? seeds : addresses));
  }
  return addresses;
}

bool all_ready(simulated_cluster& cluster) {
  for (const auto& [address, node] : cluster.nodes()) {
    if (node.up && !node.view.ready) {
      return false;
    }
  }
  return true;
}

bool never_reverts(simulated_cluster& cluster) {
  for (const auto& [address, node] : cluster.nodes()) {
    if (!std::is_sorted(node.generations.begin(), node.generations.end())) {
      return false;
    }
  }
  return true;
}

} // namespace

TEST_CASE("a published configuration is in force in 40 nodes of two data centres within 3 s") {
  simulated_cluster cluster(21);
  cluster.platform.publish(make_object(1));
  const auto accra = add_nodes(cluster, "accra", 20);
  add_nodes(cluster, "kumasi", 20, {accra[0]});
  REQUIRE(cluster.run_until([&] { return cluster.all_have_generation(1) && all_ready(cluster); },
                            seconds(20)));
  cluster.run(seconds(10));
  cluster.platform.publish(make_object(2));
  CHECK(cluster.run_until([&] { return cluster.all_have_generation(2); }, seconds(3)));
  CHECK(never_reverts(cluster));
  for (const auto& [address, node] : cluster.nodes()) {
    CHECK(node.largest_datagram <= max_datagram_bytes);
  }
}

TEST_CASE("a published configuration is in force within 3 s with 10% datagram loss") {
  simulated_cluster cluster(22);
  cluster.platform.publish(make_object(1));
  add_nodes(cluster, "accra", 40);
  REQUIRE(cluster.run_until([&] { return cluster.all_have_generation(1); }, seconds(20)));
  cluster.loss = 0.1;
  cluster.run(seconds(2));
  cluster.platform.publish(make_object(2));
  CHECK(cluster.run_until([&] { return cluster.all_have_generation(2); }, seconds(3)));
}

TEST_CASE("a new node obtains the newest generation from peers while the platform is unavailable") {
  simulated_cluster cluster(23);
  cluster.platform.publish(make_object(1));
  const auto nodes = add_nodes(cluster, "accra", 4);
  REQUIRE(cluster.run_until([&] { return cluster.all_have_generation(1); }, seconds(10)));
  cluster.platform.publish(make_object(2));
  REQUIRE(cluster.run_until([&] { return cluster.all_have_generation(2); }, seconds(5)));
  cluster.platform.unavailable = true;
  const auto joiner = cluster.add("accra", nodes);
  CHECK(cluster.run_until([&] { return cluster.at(joiner).view.ready; }, seconds(5)));
  CHECK(cluster.at(joiner).configuration.generation == 2);
  CHECK(cluster.at(joiner).generations == std::vector<std::uint64_t>{2});
}

TEST_CASE("a new node without peers or platform serves only if its settings permit it") {
  simulated_cluster cluster(24);
  cluster.platform.unavailable = true;
  const auto strict = cluster.add("accra");
  node_settings settings = cluster.at(strict).settings;
  settings.gossip_address = "127.0.0.1:30000";
  settings.serve_without_configuration = true;
  settings.data_centre = "kumasi";
  const auto lenient = cluster.add(settings);
  cluster.run(seconds(2));
  CHECK_FALSE(cluster.at(lenient).view.ready);
  cluster.run(seconds(10));
  CHECK(cluster.at(lenient).view.ready);
  CHECK_FALSE(cluster.at(strict).view.ready);
}

TEST_CASE(
    "a corrupt object from the platform is rejected and its repaired version is put in force") {
  simulated_cluster cluster(25);
  cluster.platform.publish(make_object(1));
  add_nodes(cluster, "accra", 3);
  REQUIRE(cluster.run_until([&] { return cluster.all_have_generation(1); }, seconds(10)));
  cluster.platform.publish(make_object(2));
  const std::string digest = support::sha256_hex(make_object(2));
  cluster.platform.objects[digest] = "something else";
  cluster.run(seconds(10));
  CHECK(cluster.all_have_generation(1));
  cluster.platform.objects[digest] = make_object(2);
  CHECK(cluster.run_until([&] { return cluster.all_have_generation(2); }, seconds(15)));
}

TEST_CASE("a corrupt chunk from a peer is rejected and the object is fetched from another source") {
  simulated_cluster cluster(26);
  const std::string object = make_object(1);
  const std::string digest = support::sha256_hex(object);
  const auto nodes = add_nodes(cluster, "accra", 2);
  cluster.run(seconds(4));
  datagram offer;
  offer.body = configuration_offer{1, digest};
  const std::string bad_peer = "127.0.0.9:1";
  cluster.deliver(nodes[0], peer_received{bad_peer, offer});
  datagram part;
  part.body = chunk{digest, "", 0, 0, 4, 0, "liar"};
  cluster.deliver(nodes[0], peer_received{bad_peer, part});
  cluster.run(milliseconds(300));
  CHECK(cluster.at(nodes[0]).configuration.generation == 0);
  cluster.platform.publish(object);
  CHECK(cluster.run_until([&] { return cluster.all_have_generation(1); }, seconds(10)));
}

TEST_CASE("an older head after a table rollback does not revert the configuration") {
  simulated_cluster cluster(27);
  cluster.platform.publish(make_object(1));
  cluster.platform.publish(make_object(2));
  const auto old_rows = [&] {
    auto rows = cluster.platform.rows;
    rows.at("head/configuration").value =
        encode_configuration_head({1, support::sha256_hex(make_object(1)), "t", "r", ""});
    return rows;
  }();
  const auto nodes = add_nodes(cluster, "accra", 4);
  REQUIRE(cluster.run_until([&] { return cluster.all_have_generation(2); }, seconds(10)));
  cluster.platform.rows = old_rows;
  cluster.run(seconds(10));
  CHECK(cluster.all_have_generation(2));
  // A new node that queries both the table and its peers uses the newer generation.
  cluster.add("accra", nodes);
  CHECK(cluster.run_until([&] { return cluster.all_have_generation(2); }, seconds(10)));
  CHECK(never_reverts(cluster));
}

TEST_CASE("the table resolves a conflict between objects of the same generation") {
  simulated_cluster cluster(28);
  cluster.platform.publish(make_object(1));
  const auto nodes = add_nodes(cluster, "accra", 3);
  REQUIRE(cluster.run_until([&] { return cluster.all_have_generation(1); }, seconds(10)));
  const std::string false_object = make_object(99, 2);
  const std::string false_digest = support::sha256_hex(false_object);
  datagram offer;
  offer.body = configuration_offer{2, false_digest};
  datagram part;
  part.body = chunk{false_digest, "", 0, 0, static_cast<std::uint32_t>(false_object.size()), 0,
                    false_object};
  const std::string bad_peer = "127.0.0.9:1";
  cluster.deliver(nodes[0], peer_received{bad_peer, offer});
  cluster.deliver(nodes[0], peer_received{bad_peer, part});
  REQUIRE(cluster.at(nodes[0]).configuration.digest == false_digest);
  cluster.platform.publish(make_object(2));
  const auto settled = [&] {
    for (const auto& [address, node] : cluster.nodes()) {
      if (node.configuration.digest != support::sha256_hex(make_object(2))) {
        return false;
      }
    }
    return true;
  };
  CHECK(cluster.run_until(settled, seconds(15)));
  CHECK(never_reverts(cluster));
}

TEST_CASE("a generation far ahead is not accepted from a peer alone") {
  simulated_cluster cluster(29);
  cluster.platform.publish(make_object(1));
  const auto nodes = add_nodes(cluster, "accra", 3);
  REQUIRE(cluster.run_until([&] { return cluster.all_have_generation(1); }, seconds(10)));
  datagram offer;
  offer.body = configuration_offer{1ULL << 60U, support::sha256_hex("x")};
  cluster.deliver(nodes[0], peer_received{"127.0.0.9:1", offer});
  cluster.platform.publish(make_object(2));
  CHECK(cluster.run_until([&] { return cluster.all_have_generation(2); }, seconds(5)));
}

TEST_CASE("a paused poller and a partitioned data centre catch up without reverting") {
  simulated_cluster cluster(30);
  cluster.platform.publish(make_object(1));
  const auto accra = add_nodes(cluster, "accra", 4);
  const auto kumasi = add_nodes(cluster, "kumasi", 4, {accra[0]});
  REQUIRE(cluster.run_until([&] { return cluster.all_have_generation(1); }, seconds(15)));
  cluster.run(seconds(5));
  std::string poller;
  for (const auto& address : accra) {
    if (describe_node(*cluster.at(address).state).polls_head) {
      poller = address;
    }
  }
  REQUIRE_FALSE(poller.empty());
  cluster.pause(poller);
  const std::set<std::string> group(kumasi.begin(), kumasi.end());
  cluster.drops = [group](const std::string& from, const std::string& to) {
    return group.contains(from) != group.contains(to);
  };
  cluster.run(seconds(2));
  cluster.platform.publish(make_object(2));
  cluster.run(seconds(3));
  cluster.platform.publish(make_object(3));
  cluster.run(seconds(20));
  cluster.resume(poller);
  CHECK_FALSE(cluster.at(poller).view.confirmed);
  cluster.drops = nullptr;
  CHECK(cluster.run_until([&] { return cluster.all_have_generation(3) && cluster.views_agree(); },
                          seconds(5)));
  CHECK(never_reverts(cluster));
}

TEST_CASE("joins and distribution continue through platform outages and lost answers") {
  simulated_cluster cluster(31);
  cluster.platform.publish(make_object(1));
  const auto nodes = add_nodes(cluster, "accra", 5);
  REQUIRE(cluster.run_until([&] { return cluster.all_have_generation(1); }, seconds(10)));
  cluster.platform.drops_answers = true;
  cluster.run(seconds(5));
  cluster.platform.unavailable = true;
  cluster.add("accra", nodes);
  CHECK(cluster.run_until([&] { return cluster.all_have_generation(1) && cluster.views_agree(); },
                          seconds(10)));
  cluster.platform.unavailable = false;
  cluster.platform.publish(make_object(2));
  cluster.run(seconds(5));
  cluster.platform.drops_answers = false;
  CHECK(cluster.run_until([&] { return cluster.all_have_generation(2); }, seconds(20)));
}

TEST_CASE("a change is transferred as a difference instead of the whole object") {
  simulated_cluster cluster(32);
  cluster.platform.publish(make_object(1, 3000));
  add_nodes(cluster, "accra", 10);
  REQUIRE(cluster.run_until([&] { return cluster.all_have_generation(1); }, seconds(60)));
  cluster.run(seconds(10));
  const auto bytes = [&] {
    std::uint64_t sum = 0;
    for (const auto& [address, node] : cluster.nodes()) {
      sum += node.bytes_sent;
    }
    return sum;
  };
  const std::uint64_t before = bytes();
  cluster.platform.publish(make_object(2, 3000));
  REQUIRE(cluster.run_until([&] { return cluster.all_have_generation(2); }, seconds(3)));
  CHECK(bytes() - before < make_object(2, 3000).size());
}

TEST_CASE("most duty holders fetch a new object from a peer instead of the store") {
  simulated_cluster cluster(33);
  cluster.platform.publish(make_object(1));
  std::vector<std::string> seeds;
  for (const auto* name : {"accra", "kumasi", "tema", "ho"}) {
    seeds = {add_nodes(cluster, name, 10, seeds)[0]};
  }
  REQUIRE(cluster.run_until([&] { return cluster.all_have_generation(1) && all_ready(cluster); },
                            seconds(30)));
  cluster.run(seconds(10));
  constexpr int changes = 10;
  const std::uint64_t before = cluster.platform.object_reads;
  for (int change = 0; change < changes; ++change) {
    const auto generation = cluster.platform.publish(make_object(2 + change));
    REQUIRE(cluster.run_until([&] { return cluster.all_have_generation(generation); }, seconds(3)));
    cluster.run(milliseconds(700));
  }
  // Eight nodes hold the duty. Without offers from peers, each of them would read the object.
  CHECK(cluster.platform.object_reads - before <= 4 * changes);
  CHECK(never_reverts(cluster));
}

#include <set>

#include <catch2/catch.hpp>

#include "acaciasill/control/configuration_head.h"
#include "acaciasill/control/message_bag.h"
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

std::vector<std::string> add_nodes(message_bag& bag, const std::string& data_centre, int count,
                                   const std::vector<std::string>& seeds = {}) {
  std::vector<std::string> addresses;
  for (int index = 0; index < count; ++index) {
    addresses.push_back(bag.add(data_centre, addresses.empty() ? seeds : addresses));
  }
  return addresses;
}

bool all_ready(message_bag& bag) {
  for (const auto& [address, node] : bag.nodes()) {
    if (node.up && !node.view.ready) {
      return false;
    }
  }
  return true;
}

bool never_reverts(message_bag& bag) {
  for (const auto& [address, node] : bag.nodes()) {
    if (!std::is_sorted(node.generations.begin(), node.generations.end())) {
      return false;
    }
  }
  return true;
}

} // namespace

TEST_CASE("a published configuration is in force in 40 nodes of two data centres within 3 s") {
  message_bag bag(21);
  bag.platform.publish(make_object(1));
  const auto accra = add_nodes(bag, "accra", 20);
  add_nodes(bag, "kumasi", 20, {accra[0]});
  REQUIRE(bag.run_until([&] { return bag.all_have(1) && all_ready(bag); }, seconds(20)));
  bag.run(seconds(10));
  bag.platform.publish(make_object(2));
  CHECK(bag.run_until([&] { return bag.all_have(2); }, seconds(3)));
  CHECK(never_reverts(bag));
  for (const auto& [address, node] : bag.nodes()) {
    CHECK(node.largest_datagram <= max_datagram_bytes);
  }
}

TEST_CASE("a published configuration is in force within 3 s with 10% datagram loss") {
  message_bag bag(22);
  bag.platform.publish(make_object(1));
  add_nodes(bag, "accra", 40);
  REQUIRE(bag.run_until([&] { return bag.all_have(1); }, seconds(20)));
  bag.loss = 0.1;
  bag.run(seconds(2));
  bag.platform.publish(make_object(2));
  CHECK(bag.run_until([&] { return bag.all_have(2); }, seconds(3)));
}

TEST_CASE("a new node obtains the newest generation from peers while the platform is unavailable") {
  message_bag bag(23);
  bag.platform.publish(make_object(1));
  const auto nodes = add_nodes(bag, "accra", 4);
  REQUIRE(bag.run_until([&] { return bag.all_have(1); }, seconds(10)));
  bag.platform.publish(make_object(2));
  REQUIRE(bag.run_until([&] { return bag.all_have(2); }, seconds(5)));
  bag.platform.away = true;
  const auto joiner = bag.add("accra", nodes);
  CHECK(bag.run_until([&] { return bag.at(joiner).view.ready; }, seconds(5)));
  CHECK(bag.at(joiner).configuration.generation == 2);
  CHECK(bag.at(joiner).generations == std::vector<std::uint64_t>{2});
}

TEST_CASE("a new node without peers or platform serves only if its settings permit it") {
  message_bag bag(24);
  bag.platform.away = true;
  const auto strict = bag.add("accra");
  node_settings settings = bag.at(strict).settings;
  settings.gossip_address = "127.0.0.1:30000";
  settings.serve_without_configuration = true;
  settings.data_centre = "kumasi";
  const auto lenient = bag.add(settings);
  bag.run(seconds(2));
  CHECK_FALSE(bag.at(lenient).view.ready);
  bag.run(seconds(10));
  CHECK(bag.at(lenient).view.ready);
  CHECK_FALSE(bag.at(strict).view.ready);
}

TEST_CASE(
    "a corrupt object from the platform is rejected and its repaired version is put in force") {
  message_bag bag(25);
  bag.platform.publish(make_object(1));
  add_nodes(bag, "accra", 3);
  REQUIRE(bag.run_until([&] { return bag.all_have(1); }, seconds(10)));
  bag.platform.publish(make_object(2));
  const std::string digest = support::sha256_hex(make_object(2));
  bag.platform.objects[digest] = "something else";
  bag.run(seconds(10));
  CHECK(bag.all_have(1));
  bag.platform.objects[digest] = make_object(2);
  CHECK(bag.run_until([&] { return bag.all_have(2); }, seconds(15)));
}

TEST_CASE("a corrupt chunk from a peer is rejected and the object is fetched from another source") {
  message_bag bag(26);
  const std::string object = make_object(1);
  const std::string digest = support::sha256_hex(object);
  const auto nodes = add_nodes(bag, "accra", 2);
  bag.run(seconds(4));
  datagram offer;
  offer.body = configuration_offer{1, digest};
  const std::string bad_peer = "127.0.0.9:1";
  bag.give(nodes[0], peer_received{bad_peer, offer});
  datagram part;
  part.body = chunk{digest, "", 0, 0, 4, 0, "liar"};
  bag.give(nodes[0], peer_received{bad_peer, part});
  bag.run(milliseconds(300));
  CHECK(bag.at(nodes[0]).configuration.generation == 0);
  bag.platform.publish(object);
  CHECK(bag.run_until([&] { return bag.all_have(1); }, seconds(10)));
}

TEST_CASE("an older head after a table rollback does not revert the configuration") {
  message_bag bag(27);
  bag.platform.publish(make_object(1));
  bag.platform.publish(make_object(2));
  const auto old_rows = [&] {
    auto rows = bag.platform.rows;
    rows.at("head/configuration").value =
        encode_configuration_head({1, support::sha256_hex(make_object(1)), "t", "r", ""});
    return rows;
  }();
  const auto nodes = add_nodes(bag, "accra", 4);
  REQUIRE(bag.run_until([&] { return bag.all_have(2); }, seconds(10)));
  bag.platform.rows = old_rows;
  bag.run(seconds(10));
  CHECK(bag.all_have(2));
  // A new node that queries both the table and its peers uses the newer generation.
  bag.add("accra", nodes);
  CHECK(bag.run_until([&] { return bag.all_have(2); }, seconds(10)));
  CHECK(never_reverts(bag));
}

TEST_CASE("the table resolves a conflict between objects of the same generation") {
  message_bag bag(28);
  bag.platform.publish(make_object(1));
  const auto nodes = add_nodes(bag, "accra", 3);
  REQUIRE(bag.run_until([&] { return bag.all_have(1); }, seconds(10)));
  const std::string false_object = make_object(99, 2);
  const std::string false_digest = support::sha256_hex(false_object);
  datagram offer;
  offer.body = configuration_offer{2, false_digest};
  datagram part;
  part.body = chunk{false_digest, "", 0, 0, static_cast<std::uint32_t>(false_object.size()), 0,
                    false_object};
  const std::string bad_peer = "127.0.0.9:1";
  bag.give(nodes[0], peer_received{bad_peer, offer});
  bag.give(nodes[0], peer_received{bad_peer, part});
  REQUIRE(bag.at(nodes[0]).configuration.digest == false_digest);
  bag.platform.publish(make_object(2));
  const auto settled = [&] {
    for (const auto& [address, node] : bag.nodes()) {
      if (node.configuration.digest != support::sha256_hex(make_object(2))) {
        return false;
      }
    }
    return true;
  };
  CHECK(bag.run_until(settled, seconds(15)));
  CHECK(never_reverts(bag));
}

TEST_CASE("a generation far ahead is not accepted from a peer alone") {
  message_bag bag(29);
  bag.platform.publish(make_object(1));
  const auto nodes = add_nodes(bag, "accra", 3);
  REQUIRE(bag.run_until([&] { return bag.all_have(1); }, seconds(10)));
  datagram offer;
  offer.body = configuration_offer{1ULL << 60U, support::sha256_hex("x")};
  bag.give(nodes[0], peer_received{"127.0.0.9:1", offer});
  bag.platform.publish(make_object(2));
  CHECK(bag.run_until([&] { return bag.all_have(2); }, seconds(5)));
}

TEST_CASE("a paused poller and a partitioned data centre catch up without reverting") {
  message_bag bag(30);
  bag.platform.publish(make_object(1));
  const auto accra = add_nodes(bag, "accra", 4);
  const auto kumasi = add_nodes(bag, "kumasi", 4, {accra[0]});
  REQUIRE(bag.run_until([&] { return bag.all_have(1); }, seconds(15)));
  bag.run(seconds(5));
  std::string poller;
  for (const auto& address : accra) {
    if (describe_node(*bag.at(address).state).polls_head) {
      poller = address;
    }
  }
  REQUIRE_FALSE(poller.empty());
  bag.pause(poller);
  const std::set<std::string> group(kumasi.begin(), kumasi.end());
  bag.drops = [group](const std::string& from, const std::string& to) {
    return group.contains(from) != group.contains(to);
  };
  bag.run(seconds(2));
  bag.platform.publish(make_object(2));
  bag.run(seconds(3));
  bag.platform.publish(make_object(3));
  bag.run(seconds(20));
  bag.resume(poller);
  CHECK_FALSE(bag.at(poller).view.confirmed);
  bag.drops = nullptr;
  CHECK(bag.run_until([&] { return bag.all_have(3) && bag.views_agree(); }, seconds(5)));
  CHECK(never_reverts(bag));
}

TEST_CASE("joins and distribution continue through platform outages and lost answers") {
  message_bag bag(31);
  bag.platform.publish(make_object(1));
  const auto nodes = add_nodes(bag, "accra", 5);
  REQUIRE(bag.run_until([&] { return bag.all_have(1); }, seconds(10)));
  bag.platform.loses_answers = true;
  bag.run(seconds(5));
  bag.platform.away = true;
  bag.add("accra", nodes);
  CHECK(bag.run_until([&] { return bag.all_have(1) && bag.views_agree(); }, seconds(10)));
  bag.platform.away = false;
  bag.platform.publish(make_object(2));
  bag.run(seconds(5));
  bag.platform.loses_answers = false;
  CHECK(bag.run_until([&] { return bag.all_have(2); }, seconds(20)));
}

TEST_CASE("a change is transferred as a difference instead of the whole object") {
  message_bag bag(32);
  bag.platform.publish(make_object(1, 3000));
  add_nodes(bag, "accra", 10);
  REQUIRE(bag.run_until([&] { return bag.all_have(1); }, seconds(60)));
  bag.run(seconds(10));
  const auto bytes = [&] {
    std::uint64_t sum = 0;
    for (const auto& [address, node] : bag.nodes()) {
      sum += node.bytes_sent;
    }
    return sum;
  };
  const std::uint64_t before = bytes();
  bag.platform.publish(make_object(2, 3000));
  REQUIRE(bag.run_until([&] { return bag.all_have(2); }, seconds(3)));
  CHECK(bytes() - before < make_object(2, 3000).size());
}

TEST_CASE("most duty holders fetch a new object from a peer instead of the store") {
  message_bag bag(33);
  bag.platform.publish(make_object(1));
  std::vector<std::string> seeds;
  for (const auto* name : {"accra", "kumasi", "tema", "ho"}) {
    seeds = {add_nodes(bag, name, 10, seeds)[0]};
  }
  REQUIRE(bag.run_until([&] { return bag.all_have(1) && all_ready(bag); }, seconds(30)));
  bag.run(seconds(10));
  constexpr int changes = 10;
  const std::uint64_t before = bag.platform.object_reads;
  for (int change = 0; change < changes; ++change) {
    const auto generation = bag.platform.publish(make_object(2 + change));
    REQUIRE(bag.run_until([&] { return bag.all_have(generation); }, seconds(3)));
    bag.run(milliseconds(700));
  }
  // Eight nodes hold the duty. Without offers from peers, each of them would read the object.
  CHECK(bag.platform.object_reads - before <= 4 * changes);
  CHECK(never_reverts(bag));
}

#include "acaciasill/net/gossip_socket.h"

#include <asio.hpp>
#include <catch2/catch.hpp>

#include "acaciasill/wire/datagram_codec.h"
#include "acaciasill/wire/datagram_envelope.h"
#include "net/peer_fixture.h"

namespace {

using namespace acaciasill;
using namespace acaciasill::tests;
using asio::ip::udp;

const udp::endpoint any_port(asio::ip::make_address("127.0.0.1"), 0);

// Gossip socket that records the datagrams it receives.
struct recording_socket {
  std::vector<std::pair<std::string, control::datagram>> received;
  std::shared_ptr<net::gossip_socket> socket;

  explicit recording_socket(asio::io_context& context,
                            const net::peer_settings& settings = keyed_settings())
      : socket(net::gossip_socket::open(context, any_port, settings,
                                        [this](const std::string& from, control::datagram message) {
                                          received.emplace_back(from, std::move(message));
                                        })
                   .value()) {}
  ~recording_socket() { socket->stop(); }
};

control::datagram make_probe(std::uint64_t sequence) {
  control::datagram message;
  message.sender_incarnation = 3;
  message.body = control::probe{sequence};
  return message;
}

// Plain UDP socket for sending arbitrary bytes.
struct raw_sender {
  asio::io_context context;
  udp::socket socket{context, any_port};

  std::string address() const { return net::format_gossip_address(socket.local_endpoint()); }
  void send(const net::gossip_socket& to, const std::string& bytes) {
    socket.send_to(asio::buffer(bytes), net::parse_gossip_address(to.address()).value());
  }
  std::string packet(const net::gossip_socket& to, const std::string& key, std::uint64_t sequence) {
    return wire::seal_packet(key, {address(), to.address()}, 5, sequence,
                             wire::encode_datagram(make_probe(sequence)));
  }
};

} // namespace

TEST_CASE("a datagram arrives with its sender's address", "[net]") {
  asio::io_context context;
  recording_socket one(context);
  recording_socket other(context);
  one.socket->send(other.socket->address(), make_probe(8));
  REQUIRE(run_until(context, [&] { return !other.received.empty(); }));
  CHECK(other.received[0].first == one.socket->address());
  CHECK(other.received[0].second == make_probe(8));
  CHECK(one.socket->counters().sent == 1);
}

TEST_CASE("unauthenticated, corrupt, oversized and replayed datagrams are counted and dropped",
          "[net]") {
  asio::io_context context;
  recording_socket one(context);
  raw_sender sender;
  const std::string key = keyed_settings().peer_key;
  const auto good = sender.packet(*one.socket, key, 1);
  const wire::packet_route route{sender.address(), one.socket->address()};
  sender.send(*one.socket, "short");
  sender.send(*one.socket, std::string(wire::max_packet_bytes + 100, 'x'));
  sender.send(*one.socket, sender.packet(*one.socket, "another key", 2));
  sender.send(*one.socket, good.substr(0, good.size() - 1));
  sender.send(*one.socket, wire::seal_packet(key, route, 5, 3, "no datagram"));
  sender.send(*one.socket, good);
  sender.send(*one.socket, good);
  raw_sender other_sender;
  other_sender.send(*one.socket, good);
  const auto& counters = one.socket->counters();
  REQUIRE(run_until(context, [&] { return counters.received == 8; }));
  CHECK(one.received.size() == 1);
  CHECK(counters.corrupt == 2);
  CHECK(counters.too_large == 1);
  CHECK(counters.not_authenticated == 3);
  CHECK(counters.replayed == 1);
}

TEST_CASE("a datagram that cannot be sent is counted", "[net]") {
  asio::io_context context;
  recording_socket one(context);
  one.socket->send("nowhere", make_probe(1));
  control::datagram large = make_probe(1);
  control::member record;
  record.name = std::string(control::max_name_bytes, 'n');
  large.updates.resize(control::max_updates, record);
  for (std::size_t index = 0; index < large.updates.size(); ++index) {
    large.updates[index].gossip_address = std::to_string(index);
  }
  one.socket->send(one.socket->address(), large);
  CHECK(run_until(context, [&] { return one.socket->counters().not_sent == 2; }));
}

TEST_CASE("open fails for a port in use, an unspecified address or a missing key", "[net]") {
  asio::io_context context;
  recording_socket one(context);
  const auto open = [&](const std::string& address, const net::peer_settings& settings) {
    const auto endpoint = net::parse_gossip_address(address).value();
    const auto socket = net::gossip_socket::open(
        context, endpoint, settings, [](const std::string&, const control::datagram&) {});
    return support::code_of(socket.status());
  };
  CHECK(open(one.socket->address(), keyed_settings()) == support::result_code::port_in_use);
  CHECK(open("0.0.0.0:0", keyed_settings()) == support::result_code::out_of_range);
  CHECK(open("127.0.0.1:0", {}) == support::result_code::peer_not_authenticated);
}

TEST_CASE("sending to a closed port does not stop the socket", "[net]") {
  asio::io_context context;
  recording_socket one(context);
  std::string closed_address;
  {
    raw_sender sender;
    closed_address = sender.address();
  }
  one.socket->send(closed_address, make_probe(1));
  recording_socket other(context);
  other.socket->send(one.socket->address(), make_probe(2));
  CHECK(run_until(context, [&] { return !one.received.empty(); }));
}

#include "acaciasill/net/peer_listener.h"

#include <asio.hpp>
#include <catch2/catch.hpp>

#include "net/peer_fixture.h"

namespace {

using namespace acaciasill;
using namespace acaciasill::tests;
using support::result_code;
using wire::outcome;

// A listener and one connection that the test plays by hand.
struct raw_caller {
  asio::io_context context;
  call_box box;
  std::unique_ptr<net::peer_listener> listener;
  raw_end caller{context};

  explicit raw_caller(const net::peer_settings& settings = open_settings()) {
    listener = net::peer_listener::listen({&context}, loopback(), settings, box.handlers()).value();
    caller.connect(listener->address());
  }

  wire::call_request send(std::uint64_t correlation) {
    auto request = request_with(correlation);
    request.correlation = correlation;
    caller.write(wire::encode(request));
    return request;
  }
  bool has_calls(std::size_t count) {
    return run_until(context, [&] { return box.calls.size() >= count; });
  }
  // Whether a caller that behaves is served as before.
  bool still_serves() {
    reply_box replies;
    const auto link = net::peer_link::create(context, listener->address(), open_settings());
    const std::size_t before = box.calls.size();
    link->send_call(request_with(77), far_deadline(), replies.callback());
    REQUIRE(has_calls(before + 1));
    wire::call_reply reply;
    reply.outcome = outcome::completed;
    box.calls.back().respond(reply);
    const bool came = run_until(context, [&] { return !replies.replies.empty(); });
    link->stop();
    return came && replies.replies[0].outcome == outcome::completed;
  }
};

} // namespace

TEST_CASE("a reply echoes the correlation and id of its call", "[net]") {
  raw_caller test;
  test.caller.be_greeted();
  const auto request = test.send(5);
  REQUIRE(test.has_calls(1));
  wire::call_reply reply;
  reply.outcome = outcome::completed;
  test.box.calls[0].respond(reply);
  test.box.calls[0].respond(reply);
  const auto received = std::get<wire::call_reply>(*test.caller.read());
  CHECK(received.correlation == 5);
  CHECK(received.id == request.id);
  CHECK(test.listener->counters().in_flight == 0);
}

TEST_CASE("a responder that is dropped says that the outcome is unknown", "[net]") {
  raw_caller test;
  test.caller.be_greeted();
  test.send(5);
  REQUIRE(test.has_calls(1));
  test.box.calls.clear();
  const auto received = std::get<wire::call_reply>(*test.caller.read());
  CHECK(received.outcome == outcome::unknown);
  CHECK(received.code == result_code::internal_error);
}

TEST_CASE("a reply over the limits says that the call failed", "[net]") {
  raw_caller test;
  test.caller.be_greeted();
  test.send(5);
  REQUIRE(test.has_calls(1));
  wire::call_reply reply;
  reply.outcome = outcome::completed;
  reply.body = std::string(wire::max_body_bytes + 1, 'b');
  test.box.calls[0].respond(reply);
  const auto received = std::get<wire::call_reply>(*test.caller.read());
  CHECK(received.outcome == outcome::failed);
  CHECK(received.code == result_code::body_too_large);
}

TEST_CASE("the calls of a lost connection are cancelled", "[net]") {
  raw_caller test;
  test.caller.be_greeted();
  test.send(1);
  test.send(2);
  REQUIRE(test.has_calls(2));
  test.caller.close();
  REQUIRE(run_until(test.context, [&] { return test.box.cancelled.size() == 2; }));
  test.box.calls[0].respond({});
  CHECK(run_until(test.context, [&] { return test.listener->counters().connections == 0; }));
}

TEST_CASE("a call before the handshake is refused and not handed on", "[net]") {
  raw_caller test;
  test.send(1);
  CHECK(test.caller.is_closed());
  CHECK(test.box.calls.empty());
  CHECK(test.listener->counters().not_authenticated == 1);
  CHECK(test.still_serves());
}

TEST_CASE("a wrong proof is refused and nothing behind it is handed on", "[net]") {
  raw_caller test(keyed_settings());
  test.caller.write(wire::encode(wire::hello{.nonce = wire::make_nonce()}));
  REQUIRE(std::holds_alternative<wire::challenge>(*test.caller.read()));
  test.caller.write(wire::encode(wire::proof{.tag = std::string(wire::tag_bytes, 't')}));
  CHECK(test.caller.is_closed());
  CHECK(test.listener->counters().not_authenticated == 1);
}

TEST_CASE("a proof that was recorded on another connection is refused", "[net]") {
  raw_caller test(keyed_settings());
  const std::string nonce = wire::make_nonce();
  test.caller.write(wire::encode(wire::hello{.nonce = nonce}));
  const auto first = std::get<wire::challenge>(*test.caller.read());
  const wire::proof recorded{
      .tag = wire::connecting_tag(keyed_settings().peer_key, nonce, first.nonce)};
  raw_end other(test.context);
  other.connect(test.listener->address());
  other.write(wire::encode(wire::hello{.nonce = nonce}));
  REQUIRE(std::holds_alternative<wire::challenge>(*other.read()));
  other.write(wire::encode(recorded));
  CHECK(other.is_closed());
  CHECK(test.listener->counters().not_authenticated == 1);
}

TEST_CASE("a peer of another version is refused", "[net]") {
  raw_caller test;
  test.caller.write(wire::encode(
      wire::hello{.version = wire::protocol_version + 1, .nonce = wire::make_nonce()}));
  CHECK(test.caller.is_closed());
}

TEST_CASE("a peer that never greets is closed", "[net]") {
  auto settings = open_settings();
  settings.connect_timeout = support::milliseconds(30);
  raw_caller test(settings);
  CHECK(test.caller.is_closed());
}

TEST_CASE("a large frame before the handshake is refused", "[net]") {
  raw_caller test;
  test.caller.write(wire::encode(request_with(1, std::string(4096, 'b'))));
  CHECK(test.caller.is_closed());
  CHECK(test.listener->counters().corrupt_frames == 1);
  CHECK(test.still_serves());
}

TEST_CASE("corrupt frames close their connection alone", "[net]") {
  raw_caller test;
  test.caller.be_greeted();
  test.send(1);
  REQUIRE(test.has_calls(1));
  test.caller.write(std::string("\x20\0\0\0", 4) + std::string(32, 'x'));
  CHECK(test.caller.is_closed());
  CHECK(test.box.cancelled.size() == 1);
  CHECK(test.still_serves());
}

TEST_CASE("a correlation in use, or a cancellation of another id, closes the connection", "[net]") {
  raw_caller test;
  test.caller.be_greeted();
  test.send(1);
  SECTION("in use") {
    test.send(1);
  }
  SECTION("another id") {
    test.caller.write(wire::encode(wire::call_cancel{.correlation = 1, .id = {.high = 8}}));
  }
  CHECK(test.caller.is_closed());
  CHECK(test.box.calls.size() == 1);
  CHECK(test.box.cancelled.size() == 1);
}

TEST_CASE("a caller that stops half-way through a frame is closed", "[net]") {
  auto settings = open_settings();
  settings.stall_timeout = support::milliseconds(40);
  raw_caller test(settings);
  test.caller.be_greeted();
  test.caller.write(wire::encode(request_with(1)).substr(0, 30));
  CHECK(test.caller.is_closed());
  CHECK(test.listener->counters().stalled == 1);
}

TEST_CASE("calls over the connection's bound are not run", "[net]") {
  auto settings = open_settings();
  settings.max_calls = 1;
  raw_caller test(settings);
  test.caller.be_greeted();
  test.send(1);
  test.send(2);
  const auto received = std::get<wire::call_reply>(*test.caller.read());
  CHECK(received.correlation == 2);
  CHECK(received.outcome == outcome::not_run);
  CHECK(received.code == result_code::queue_full);
}

TEST_CASE("a port in use is reported", "[net]") {
  asio::io_context context;
  const auto first =
      net::peer_listener::listen({&context}, loopback(), open_settings(), echo_handlers());
  REQUIRE(first.ok());
  const auto second =
      net::peer_listener::listen({&context}, (*first)->address(), open_settings(), echo_handlers());
  CHECK(support::code_of(second.status()) == result_code::port_in_use);
}

TEST_CASE("connections over the bound are closed", "[net]") {
  auto settings = open_settings();
  settings.max_connections = 1;
  raw_caller test(settings);
  test.caller.be_greeted();
  raw_end other(test.context);
  other.connect(test.listener->address());
  CHECK(other.is_closed());
  CHECK(test.listener->counters().refused == 1);
}

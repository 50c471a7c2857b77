#include "acaciasill/net/peer_listener.h"

#include <asio.hpp>
#include <catch2/catch.hpp>

#include "net/peer_fixture.h"

namespace {

using namespace acaciasill;
using namespace acaciasill::tests;
using support::result_code;
using wire::outcome;

// Listener with one connection whose frames the test sends and reads itself.
struct raw_caller_fixture {
  asio::io_context context;
  call_recorder recorder;
  std::unique_ptr<net::peer_listener> listener;
  raw_endpoint caller{context};

  explicit raw_caller_fixture(const net::peer_settings& settings = unauthenticated_settings()) {
    listener =
        net::peer_listener::listen({&context}, loopback(), settings, recorder.handlers()).value();
    caller.connect(listener->address());
  }

  wire::call_request send(std::uint64_t correlation) {
    auto request = request_with(correlation);
    request.correlation = correlation;
    caller.write(wire::encode(request));
    return request;
  }
  bool has_calls(std::size_t count) {
    return run_until(context, [&] { return recorder.calls.size() >= count; });
  }
  // Returns whether the listener still serves another, correct caller.
  bool serves_other_callers() {
    reply_recorder replies;
    const auto link =
        net::peer_link::create(context, listener->address(), unauthenticated_settings());
    const std::size_t before = recorder.calls.size();
    link->send_call(request_with(77), far_deadline(), replies.callback());
    REQUIRE(has_calls(before + 1));
    wire::call_reply reply;
    reply.outcome = outcome::completed;
    recorder.calls.back().respond(reply);
    const bool was_met = run_until(context, [&] { return !replies.replies.empty(); });
    link->stop();
    return was_met && replies.replies[0].outcome == outcome::completed;
  }
};

} // namespace

TEST_CASE("a reply echoes the correlation and id of its call", "[net]") {
  raw_caller_fixture test;
  test.caller.perform_handshake();
  const auto request = test.send(5);
  REQUIRE(test.has_calls(1));
  wire::call_reply reply;
  reply.outcome = outcome::completed;
  test.recorder.calls[0].respond(reply);
  test.recorder.calls[0].respond(reply);
  const auto received = std::get<wire::call_reply>(*test.caller.read());
  CHECK(received.correlation == 5);
  CHECK(received.id == request.id);
  CHECK(test.listener->counters().in_flight == 0);
}

TEST_CASE("a destroyed responder sends the outcome unknown", "[net]") {
  raw_caller_fixture test;
  test.caller.perform_handshake();
  test.send(5);
  REQUIRE(test.has_calls(1));
  test.recorder.calls.clear();
  const auto received = std::get<wire::call_reply>(*test.caller.read());
  CHECK(received.outcome == outcome::unknown);
  CHECK(received.code == result_code::internal_error);
}

TEST_CASE("a reply over the limits is replaced by the outcome failed", "[net]") {
  raw_caller_fixture test;
  test.caller.perform_handshake();
  test.send(5);
  REQUIRE(test.has_calls(1));
  wire::call_reply reply;
  reply.outcome = outcome::completed;
  reply.body = std::string(wire::max_body_bytes + 1, 'b');
  test.recorder.calls[0].respond(reply);
  const auto received = std::get<wire::call_reply>(*test.caller.read());
  CHECK(received.outcome == outcome::failed);
  CHECK(received.code == result_code::body_too_large);
}

TEST_CASE("the calls of a lost connection are cancelled", "[net]") {
  raw_caller_fixture test;
  test.caller.perform_handshake();
  test.send(1);
  test.send(2);
  REQUIRE(test.has_calls(2));
  test.caller.close();
  REQUIRE(run_until(test.context, [&] { return test.recorder.cancelled.size() == 2; }));
  test.recorder.calls[0].respond({});
  CHECK(run_until(test.context, [&] { return test.listener->counters().connections == 0; }));
}

TEST_CASE("a call before the handshake closes the connection and is not delivered", "[net]") {
  raw_caller_fixture test;
  test.send(1);
  CHECK(test.caller.is_closed());
  CHECK(test.recorder.calls.empty());
  CHECK(test.listener->counters().not_authenticated == 1);
  CHECK(test.serves_other_callers());
}

TEST_CASE("a wrong proof is rejected", "[net]") {
  raw_caller_fixture test(keyed_settings());
  test.caller.write(wire::encode(wire::hello{.nonce = wire::make_nonce()}));
  REQUIRE(std::holds_alternative<wire::challenge>(*test.caller.read()));
  test.caller.write(wire::encode(wire::proof{.tag = std::string(wire::tag_bytes, 't')}));
  CHECK(test.caller.is_closed());
  CHECK(test.listener->counters().not_authenticated == 1);
}

TEST_CASE("a proof replayed from another connection is rejected", "[net]") {
  raw_caller_fixture test(keyed_settings());
  const std::string nonce = wire::make_nonce();
  test.caller.write(wire::encode(wire::hello{.nonce = nonce}));
  const auto first = std::get<wire::challenge>(*test.caller.read());
  const wire::proof recorded{
      .tag = wire::connecting_tag(keyed_settings().peer_key, nonce, first.nonce)};
  raw_endpoint other(test.context);
  other.connect(test.listener->address());
  other.write(wire::encode(wire::hello{.nonce = nonce}));
  REQUIRE(std::holds_alternative<wire::challenge>(*other.read()));
  other.write(wire::encode(recorded));
  CHECK(other.is_closed());
  CHECK(test.listener->counters().not_authenticated == 1);
}

TEST_CASE("a peer with a different protocol version is rejected", "[net]") {
  raw_caller_fixture test;
  test.caller.write(wire::encode(
      wire::hello{.version = wire::protocol_version + 1, .nonce = wire::make_nonce()}));
  CHECK(test.caller.is_closed());
}

TEST_CASE("a connection that sends no hello is closed", "[net]") {
  auto settings = unauthenticated_settings();
  settings.connect_timeout = support::milliseconds(30);
  raw_caller_fixture test(settings);
  CHECK(test.caller.is_closed());
}

TEST_CASE("an oversized frame before the handshake closes the connection", "[net]") {
  raw_caller_fixture test;
  test.caller.write(wire::encode(request_with(1, std::string(4096, 'b'))));
  CHECK(test.caller.is_closed());
  CHECK(test.listener->counters().corrupt_frames == 1);
  CHECK(test.serves_other_callers());
}

TEST_CASE("a corrupt frame closes only its own connection", "[net]") {
  raw_caller_fixture test;
  test.caller.perform_handshake();
  test.send(1);
  REQUIRE(test.has_calls(1));
  test.caller.write(std::string("\x20\0\0\0", 4) + std::string(32, 'x'));
  CHECK(test.caller.is_closed());
  CHECK(test.recorder.cancelled.size() == 1);
  CHECK(test.serves_other_callers());
}

TEST_CASE("a reused correlation or a cancellation with the wrong id closes the connection",
          "[net]") {
  raw_caller_fixture test;
  test.caller.perform_handshake();
  test.send(1);
  SECTION("reused correlation") {
    test.send(1);
  }
  SECTION("wrong id") {
    test.caller.write(wire::encode(wire::call_cancel{.correlation = 1, .id = {.high = 8}}));
  }
  CHECK(test.caller.is_closed());
  CHECK(test.recorder.calls.size() == 1);
  CHECK(test.recorder.cancelled.size() == 1);
}

TEST_CASE("a connection whose caller stalls within a frame is closed", "[net]") {
  auto settings = unauthenticated_settings();
  settings.stall_timeout = support::milliseconds(40);
  raw_caller_fixture test(settings);
  test.caller.perform_handshake();
  test.caller.write(wire::encode(request_with(1)).substr(0, 30));
  CHECK(test.caller.is_closed());
  CHECK(test.listener->counters().stalled == 1);
}

TEST_CASE("calls over the limit of a connection are not run", "[net]") {
  auto settings = unauthenticated_settings();
  settings.max_calls = 1;
  raw_caller_fixture test(settings);
  test.caller.perform_handshake();
  test.send(1);
  test.send(2);
  const auto received = std::get<wire::call_reply>(*test.caller.read());
  CHECK(received.correlation == 2);
  CHECK(received.outcome == outcome::not_run);
  CHECK(received.code == result_code::queue_full);
}

TEST_CASE("a port in use is reported", "[net]") {
  asio::io_context context;
  const auto first = net::peer_listener::listen({&context}, loopback(), unauthenticated_settings(),
                                                echo_handlers());
  REQUIRE(first.ok());
  const auto second = net::peer_listener::listen({&context}, (*first)->address(),
                                                 unauthenticated_settings(), echo_handlers());
  CHECK(support::code_of(second.status()) == result_code::port_in_use);
}

TEST_CASE("connections over the limit are closed", "[net]") {
  auto settings = unauthenticated_settings();
  settings.max_connections = 1;
  raw_caller_fixture test(settings);
  test.caller.perform_handshake();
  raw_endpoint other(test.context);
  other.connect(test.listener->address());
  CHECK(other.is_closed());
  CHECK(test.listener->counters().refused == 1);
}

// A stopping process waits for these replies.
TEST_CASE("a connection counts as writing until its replies are written", "[net]") {
  constexpr std::size_t replies = 8;
  constexpr std::size_t body_bytes = 4'000'000;
  // Bytes that the sockets of both ends may buffer; they count as written.
  constexpr std::size_t max_socket_bytes = 16'000'000;
  constexpr int receive_buffer_bytes = 32768;
  auto settings = unauthenticated_settings();
  settings.max_backlog_bytes = 2 * replies * body_bytes;
  raw_caller_fixture test(settings);
  const auto& writing = test.listener->counters().writing;
  raw_endpoint caller(test.context);
  caller.connect(test.listener->address(), receive_buffer_bytes);
  caller.perform_handshake();
  for (std::size_t call = 1; call <= replies; ++call) {
    auto request = request_with(call);
    request.correlation = call;
    caller.write(wire::encode(request));
  }
  REQUIRE(test.has_calls(replies));
  CHECK(writing == 0);
  wire::call_reply reply;
  reply.outcome = outcome::completed;
  reply.body.assign(body_bytes, 'x');
  for (const auto& call : test.recorder.calls) {
    call.respond(reply);
  }
  CHECK(run_until(test.context, [&writing] { return writing == 1; }));
  for (std::size_t unread = replies; unread > 0; --unread) {
    if (unread * body_bytes > max_socket_bytes) {
      CHECK(writing == 1);
    }
    REQUIRE(caller.read());
  }
  CHECK(run_until(test.context, [&writing] { return writing == 0; }));
}

TEST_CASE("a connection that is lost does not count as writing", "[net]") {
  raw_caller_fixture test;
  test.caller.perform_handshake();
  test.send(5);
  REQUIRE(test.has_calls(1));
  wire::call_reply reply;
  reply.body.assign(4'000'000, 'x');
  test.recorder.calls[0].respond(reply);
  test.caller.close();
  CHECK(run_until(test.context, [&test] { return test.listener->counters().writing == 0; }));
}

#include "acaciasill/net/peer_link.h"

#include <asio.hpp>
#include <catch2/catch.hpp>

#include "acaciasill/net/peer_listener.h"
#include "net/peer_fixture.h"

namespace {

using namespace acaciasill;
using namespace acaciasill::tests;
using support::result_code;
using wire::outcome;

// Link to a listener in the same context.
struct connected_peers {
  asio::io_context context;
  call_recorder recorder;
  std::unique_ptr<net::peer_listener> listener;
  std::shared_ptr<net::peer_link> link;
  reply_recorder replies;

  explicit connected_peers(const net::peer_settings& settings = keyed_settings())
      : connected_peers(settings, settings) {}
  connected_peers(const net::peer_settings& accepting, const net::peer_settings& connecting) {
    listener =
        net::peer_listener::listen({&context}, loopback(), accepting, recorder.handlers()).value();
    link = net::peer_link::create(context, listener->address(), connecting);
  }
  ~connected_peers() { link->stop(); }

  bool run_until(const std::function<bool()>& condition) {
    return tests::run_until(context, condition);
  }
  std::uint64_t send(std::uint64_t id) {
    return link->send_call(request_with(id), far_deadline(), replies.callback());
  }
  bool has_replies(std::size_t count) {
    return run_until([&] { return replies.replies.size() >= count; });
  }
  bool has_calls(std::size_t count) {
    return run_until([&] { return recorder.calls.size() >= count; });
  }
};

// Link to a peer whose frames the test sends and reads itself.
struct raw_peer_fixture {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor{context, loopback()};
  std::shared_ptr<net::peer_link> link;
  raw_endpoint peer{context};
  reply_recorder replies;

  explicit raw_peer_fixture(const net::peer_settings& settings = unauthenticated_settings())
      : link(net::peer_link::create(context, acceptor.local_endpoint(), settings)) {}
  ~raw_peer_fixture() { link->stop(); }

  // Sends one call, performs the peer's handshake and returns the call as the peer receives it.
  wire::call_request open_connection_with(wire::call_request request) {
    link->send_call(std::move(request), far_deadline(), replies.callback());
    peer.accept(acceptor);
    peer.accept_handshake();
    return std::get<wire::call_request>(*peer.read());
  }
  const wire::call_reply& reply(std::size_t index = 0) {
    REQUIRE(run_until(context, [&] { return replies.replies.size() > index; }));
    return replies.replies[index];
  }
};

wire::call_reply completed(std::string body) {
  wire::call_reply reply;
  reply.outcome = outcome::completed;
  reply.code = result_code::ok;
  reply.body = std::move(body);
  return reply;
}

} // namespace

TEST_CASE("replies received out of order are matched to their calls", "[net]") {
  connected_peers peers;
  constexpr std::size_t count = 200;
  std::vector<std::string> bodies(count);
  std::size_t replies = 0;
  for (std::size_t index = 0; index < count; ++index) {
    peers.link->send_call(request_with(index, std::to_string(index)), far_deadline(),
                          [&, index](const wire::call_reply& reply) {
                            bodies[index] = reply.body;
                            ++replies;
                          });
  }
  REQUIRE(peers.has_calls(count));
  for (auto call = peers.recorder.calls.rbegin(); call != peers.recorder.calls.rend(); ++call) {
    call->respond(completed(call->request.body));
  }
  REQUIRE(peers.run_until([&] { return replies == count; }));
  for (std::size_t index = 0; index < count; ++index) {
    CHECK(bodies[index] == std::to_string(index));
  }
  CHECK(peers.listener->counters().accepted == 1);
}

TEST_CASE("a call carries the time left until its deadline", "[net]") {
  connected_peers peers;
  peers.send(1);
  REQUIRE(peers.has_calls(1));
  const auto left = support::microseconds(peers.recorder.calls[0].request.time_left_us);
  CHECK(left <= wait_timeout);
  CHECK(left > support::microseconds(0));
}

TEST_CASE("a call to an unreachable peer ends as not run", "[net]") {
  asio::io_context context;
  asio::ip::tcp::acceptor closed(context, loopback());
  const auto address = closed.local_endpoint();
  closed.close();
  const auto link = net::peer_link::create(context, address, keyed_settings());
  reply_recorder recorder;
  link->send_call(request_with(1), far_deadline(), recorder.callback());
  REQUIRE(run_until(context, [&] { return recorder.replies.size() == 1; }));
  CHECK(recorder.replies[0].outcome == outcome::not_run);
  CHECK(recorder.replies[0].code == result_code::peer_unreachable);
  CHECK(link->counters().in_flight == 0);
  link->stop();
}

TEST_CASE("peers with different keys refuse each other before a call is sent", "[net]") {
  connected_peers peers(keyed_settings("one"), keyed_settings("other"));
  peers.send(1);
  REQUIRE(peers.has_replies(1));
  CHECK(peers.replies.replies[0].outcome == outcome::not_run);
  CHECK(peers.replies.replies[0].code == result_code::peer_not_authenticated);
  CHECK(peers.recorder.calls.empty());
}

TEST_CASE("a link without a key does not reach a listener with one", "[net]") {
  connected_peers peers(keyed_settings(), unauthenticated_settings());
  peers.send(1);
  REQUIRE(peers.has_replies(1));
  CHECK(peers.replies.replies[0].outcome == outcome::not_run);
  CHECK(peers.recorder.calls.empty());
}

TEST_CASE("a sent call ends as unknown if the connection is lost", "[net]") {
  raw_peer_fixture test;
  test.open_connection_with(request_with(1));
  test.peer.close();
  CHECK(test.reply().outcome == outcome::unknown);
  CHECK(test.reply().code == result_code::peer_lost);
}

TEST_CASE("a call queued behind a blocked write ends as not run if the connection is lost",
          "[net]") {
  raw_peer_fixture test;
  test.open_connection_with(request_with(1));
  // The bodies exceed the kernel's socket buffers, so the write of the second batch never starts.
  for (std::uint64_t id = 2; id <= 4; ++id) {
    test.link->send_call(request_with(id, std::string(wire::max_body_bytes, 'b')), far_deadline(),
                         test.replies.callback());
    for (int iteration = 0; iteration < 100; ++iteration) {
      test.context.restart();
      test.context.poll();
    }
  }
  test.peer.close();
  REQUIRE(run_until(test.context, [&] { return test.replies.replies.size() == 4; }));
  std::size_t unknown = 0;
  std::size_t not_run = 0;
  for (const auto& reply : test.replies.replies) {
    unknown += reply.outcome == outcome::unknown && reply.code == result_code::peer_lost ? 1 : 0;
    not_run += reply.outcome == outcome::not_run && reply.code == result_code::peer_unreachable;
  }
  CHECK(unknown == 2);
  CHECK(not_run == 2);
}

TEST_CASE("a call over the backlog limit is refused and not run", "[net]") {
  auto settings = unauthenticated_settings();
  settings.max_backlog_bytes = 1024;
  raw_peer_fixture test(settings);
  test.open_connection_with(request_with(1));
  for (std::uint64_t id = 2; id <= 4; ++id) {
    test.link->send_call(request_with(id, std::string(wire::max_body_bytes, 'b')), far_deadline(),
                         test.replies.callback());
  }
  CHECK(test.reply().outcome == outcome::not_run);
  CHECK(test.reply().code == result_code::peer_backlog);
}

TEST_CASE("a call over the limit on calls in flight is refused and not run", "[net]") {
  auto settings = keyed_settings();
  settings.max_calls = 2;
  connected_peers peers(settings);
  peers.send(1);
  peers.send(2);
  peers.send(3);
  REQUIRE(peers.has_replies(1));
  CHECK(peers.replies.replies[0].outcome == outcome::not_run);
  CHECK(peers.replies.replies[0].code == result_code::peer_backlog);
  CHECK(peers.replies.replies[0].id == request_with(3).id);
}

TEST_CASE("a call over the body size limit is not sent", "[net]") {
  connected_peers peers;
  peers.link->send_call(request_with(1, std::string(wire::max_body_bytes + 1, 'b')), far_deadline(),
                        peers.replies.callback());
  REQUIRE(peers.has_replies(1));
  CHECK(peers.replies.replies[0].outcome == outcome::not_run);
  CHECK(peers.replies.replies[0].code == result_code::body_too_large);
}

TEST_CASE("an expired deadline cancels the call, and its late reply is discarded", "[net]") {
  connected_peers peers;
  peers.send(1);
  REQUIRE(peers.has_calls(1));
  peers.link->send_call(request_with(2), support::monotonic_now() + std::chrono::milliseconds(50),
                        peers.replies.callback());
  REQUIRE(peers.has_calls(2));
  REQUIRE(peers.has_replies(1));
  CHECK(peers.replies.replies[0].outcome == outcome::unknown);
  CHECK(peers.replies.replies[0].code == result_code::deadline_exceeded);
  REQUIRE(peers.run_until([&] { return !peers.recorder.cancelled.empty(); }));
  CHECK(peers.recorder.cancelled[0] == peers.recorder.calls[1].key);
  peers.recorder.calls[1].respond(completed("late"));
  peers.recorder.calls[0].respond(completed("mine"));
  REQUIRE(peers.has_replies(2));
  CHECK(peers.replies.replies[1].body == "mine");
  CHECK(peers.link->counters().connects == 1);
}

TEST_CASE("a call whose deadline has already passed is not run", "[net]") {
  connected_peers peers;
  peers.link->send_call(request_with(1), support::monotonic_now(), peers.replies.callback());
  REQUIRE(peers.has_replies(1));
  CHECK(peers.replies.replies[0].outcome == outcome::not_run);
  CHECK(peers.replies.replies[0].code == result_code::deadline_exceeded);
}

TEST_CASE("a cancelled call ends once and the peer receives the cancellation", "[net]") {
  connected_peers peers;
  const auto correlation = peers.send(1);
  REQUIRE(peers.has_calls(1));
  peers.link->cancel(correlation);
  peers.link->cancel(correlation);
  REQUIRE(peers.run_until([&] { return !peers.recorder.cancelled.empty(); }));
  REQUIRE(peers.has_replies(1));
  CHECK(peers.replies.replies.size() == 1);
  CHECK(peers.replies.replies[0].code == result_code::cancelled);
  CHECK(peers.replies.replies[0].outcome == outcome::unknown);
}

TEST_CASE("a call that is cancelled before the connection is open is not run", "[net]") {
  connected_peers peers;
  peers.link->cancel(peers.send(1));
  REQUIRE(peers.has_replies(1));
  CHECK(peers.replies.replies[0].outcome == outcome::not_run);
  peers.send(2);
  REQUIRE(peers.has_calls(1));
  CHECK(peers.recorder.calls[0].request.id == request_with(2).id);
}

TEST_CASE("a reply that crosses the cancellation is counted as late and discarded", "[net]") {
  raw_peer_fixture test;
  const auto request = test.open_connection_with(request_with(1));
  test.link->cancel(request.correlation);
  auto late = completed("late");
  late.correlation = request.correlation;
  late.id = request.id;
  test.peer.write(wire::encode(late));
  REQUIRE(run_until(test.context, [&] { return test.link->counters().late_replies == 1; }));
  CHECK(test.reply().code == result_code::cancelled);
  CHECK(test.replies.replies.size() == 1);
}

TEST_CASE("a reply with the wrong request id closes the connection", "[net]") {
  raw_peer_fixture test;
  const auto request = test.open_connection_with(request_with(1));
  auto wrong = completed("not yours");
  wrong.correlation = request.correlation;
  wrong.id = {.high = 9, .low = 9};
  test.peer.write(wire::encode(wrong));
  CHECK(test.reply().outcome == outcome::unknown);
  CHECK(test.reply().code == result_code::peer_mismatch);
  CHECK(test.reply().body.empty());
  CHECK(test.peer.is_closed());
}

TEST_CASE("a reply to a call that was never sent closes the connection", "[net]") {
  raw_peer_fixture test;
  const auto request = test.open_connection_with(request_with(1));
  auto wrong = completed("to nobody");
  wrong.correlation = request.correlation + 1;
  test.peer.write(wire::encode(wrong));
  CHECK(test.reply().code == result_code::peer_mismatch);
}

TEST_CASE("a connection whose peer stalls within a frame is closed", "[net]") {
  auto settings = unauthenticated_settings();
  settings.stall_timeout = support::milliseconds(40);
  raw_peer_fixture test(settings);
  test.open_connection_with(request_with(1));
  test.peer.write(wire::encode(completed("half")).substr(0, 20));
  CHECK(test.reply().outcome == outcome::unknown);
  CHECK(test.reply().code == result_code::peer_stalled);
}

TEST_CASE("a call ends as not run if the handshake times out", "[net]") {
  auto settings = unauthenticated_settings();
  settings.connect_timeout = support::milliseconds(40);
  raw_peer_fixture test(settings);
  test.link->send_call(request_with(1), far_deadline(), test.replies.callback());
  CHECK(test.reply().outcome == outcome::not_run);
  CHECK(test.reply().code == result_code::peer_unreachable);
}

TEST_CASE("a corrupt frame from the peer ends its calls as unknown", "[net]") {
  raw_peer_fixture test;
  test.open_connection_with(request_with(1));
  test.peer.write(std::string("\x20\0\0\0", 4) + std::string(32, 'x'));
  CHECK(test.reply().outcome == outcome::unknown);
  CHECK(test.reply().code == result_code::frame_corrupt);
}

TEST_CASE("a link reconnects after its connection was lost", "[net]") {
  raw_peer_fixture test;
  const auto first = test.open_connection_with(request_with(1));
  test.peer.close();
  test.reply();
  raw_endpoint again(test.context);
  // Calls are refused during the backoff after a failure, so this retries until the link connects.
  REQUIRE(run_until(test.context, [&] {
    test.link->send_call(request_with(2), far_deadline(), test.replies.callback());
    test.context.poll();
    asio::ip::tcp::socket socket(test.context);
    asio::error_code error;
    test.acceptor.accept(socket, error);
    return !error;
  }));
  for (std::size_t index = 1; index < test.replies.replies.size(); ++index) {
    CHECK(test.replies.replies[index].outcome == outcome::not_run);
  }
}

TEST_CASE("an idle link closes its connection and reconnects for the next call", "[net]") {
  auto settings = keyed_settings();
  settings.idle_timeout = support::milliseconds(30);
  connected_peers peers(settings);
  for (std::uint64_t id = 1; id <= 2; ++id) {
    peers.send(id);
    REQUIRE(peers.has_calls(id));
    peers.recorder.calls.back().respond(completed("done"));
    REQUIRE(peers.has_replies(id));
    CHECK(peers.replies.replies.back().outcome == outcome::completed);
    REQUIRE(peers.run_until([&] { return peers.listener->counters().connections == 0; }));
  }
  CHECK(peers.link->counters().connects == 2);
}

TEST_CASE("a retired link completes its calls and refuses new ones", "[net]") {
  connected_peers peers;
  peers.send(1);
  REQUIRE(peers.has_calls(1));
  peers.link->retire();
  peers.send(2);
  REQUIRE(peers.has_replies(1));
  CHECK(peers.replies.replies[0].outcome == outcome::not_run);
  peers.recorder.calls[0].respond(completed("whole"));
  REQUIRE(peers.has_replies(2));
  CHECK(peers.replies.replies[1].body == "whole");
  CHECK(peers.run_until([&] { return peers.listener->counters().connections == 0; }));
}

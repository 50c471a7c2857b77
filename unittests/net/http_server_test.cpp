#include "acaciasill/net/http_server.h"

#include <optional>

#include <asio.hpp>
#include <catch2/catch.hpp>

using namespace acaciasill;
using namespace acaciasill::net;

namespace {

// A server whose requests wait until the test answers them, and a raw connection to it.
struct served {
  explicit served(const http_server_settings& settings = {})
      : server(context, settings,
               {[this](http_request request, http_responder respond) {
                  requests.push_back(std::move(request));
                  responders.push_back(std::move(respond));
                },
                [this](std::uint64_t) { ++closed; }}),
        socket(context) {
    REQUIRE(server.open().ok());
    socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    socket.non_blocking(true);
  }

  void send(const std::string& text) { asio::write(socket, asio::buffer(text)); }

  // Runs until the condition holds; fails where nothing more happens.
  template <typename Condition>
  bool run_until(Condition condition) {
    for (int turn = 0; turn < 1000 && !condition(); ++turn) {
      context.restart();
      context.run_one_for(std::chrono::milliseconds(10));
      read();
    }
    return condition();
  }

  void read() {
    char bytes[4096];
    asio::error_code error;
    const auto count = socket.read_some(asio::buffer(bytes), error);
    received.append(bytes, count);
    ended = ended || error == asio::error::eof || error == asio::error::connection_reset;
  }

  asio::io_context context;
  std::vector<http_request> requests;
  std::vector<http_responder> responders;
  int closed = 0;
  http_server server;
  asio::ip::tcp::socket socket;
  std::string received;
  bool ended = false;
};

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("responses to pipelined requests leave in the order of the requests") {
  served peer;
  peer.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\n\r\n");
  REQUIRE(peer.run_until([&] { return peer.requests.size() == 3; }));
  peer.responders[2]({200, {}, "three", false});
  peer.responders[0]({200, {}, "one", false});
  REQUIRE(peer.run_until([&] { return contains(peer.received, "one"); }));
  CHECK_FALSE(contains(peer.received, "three"));
  peer.responders[1]({200, {}, "two", false});
  REQUIRE(peer.run_until([&] { return contains(peer.received, "three"); }));
  CHECK(peer.received.find("one") < peer.received.find("two"));
  CHECK(peer.received.find("two") < peer.received.find("three"));
}

TEST_CASE("a chunked body arrives whole, and nothing in it becomes a request") {
  served peer;
  peer.send("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nGET /\r\n6\r\n HTTP/\r\n0"
            "\r\n\r\n");
  REQUIRE(peer.run_until([&] { return !peer.requests.empty(); }));
  CHECK(peer.requests[0].body == "GET / HTTP/");
  CHECK(peer.requests.size() == 1);
}

TEST_CASE("a length and chunks together are refused, since hops could disagree on the end") {
  served peer;
  peer.send("POST /a HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  REQUIRE(peer.run_until([&] { return peer.ended; }));
  CHECK(contains(peer.received, "HTTP/1.1 400"));
  CHECK(peer.requests.empty());
}

TEST_CASE("a header over its limit is answered and ends the connection") {
  http_server_settings settings;
  settings.max_header_bytes = 100;
  served peer(settings);
  peer.send("GET / HTTP/1.1\r\nX: " + std::string(200, 'x') + "\r\n\r\n");
  REQUIRE(peer.run_until([&] { return peer.ended; }));
  CHECK(contains(peer.received, "HTTP/1.1 431"));
}

TEST_CASE("a body over its limit is answered after the responses before it") {
  http_server_settings settings;
  settings.max_body_bytes = 10;
  served peer(settings);
  peer.send("GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\nContent-Length: 20\r\n\r\n" +
            std::string(20, 'x'));
  REQUIRE(peer.run_until([&] { return peer.requests.size() == 1; }));
  CHECK_FALSE(contains(peer.received, "413"));
  peer.responders[0]({200, {}, "one", false});
  REQUIRE(peer.run_until([&] { return peer.ended; }));
  CHECK(peer.received.find("one") < peer.received.find("HTTP/1.1 413"));
}

TEST_CASE("the close of a caller is noticed while its request waits") {
  served peer;
  peer.send("GET / HTTP/1.1\r\n\r\n");
  REQUIRE(peer.run_until([&] { return !peer.requests.empty(); }));
  peer.socket.shutdown(asio::ip::tcp::socket::shutdown_both);
  CHECK(peer.run_until([&] { return peer.closed == 1; }));
  // A late response goes nowhere and does no harm.
  peer.responders[0]({200, {}, "late", false});
}

TEST_CASE("a draining server ends each connection with its response") {
  served peer;
  peer.send("GET / HTTP/1.1\r\n\r\n");
  REQUIRE(peer.run_until([&] { return !peer.requests.empty(); }));
  peer.server.set_draining();
  peer.responders[0]({200, {}, "last", false});
  REQUIRE(peer.run_until([&] { return peer.ended; }));
  CHECK(contains(peer.received, "Connection: close"));
  CHECK(contains(peer.received, "last"));
}

TEST_CASE("an idle connection is closed after its time, and one that waits for a response is not") {
  http_server_settings settings;
  settings.idle_timeout = support::milliseconds(1);
  served peer(settings);
  peer.send("GET / HTTP/1.1\r\n\r\n");
  REQUIRE(peer.run_until([&] { return !peer.requests.empty(); }));
  // Two looks at the time limits.
  for (int turn = 0; turn < 60; ++turn) {
    peer.context.restart();
    peer.context.run_one_for(std::chrono::milliseconds(10));
  }
  CHECK(peer.closed == 0);
  peer.responders[0]({200, {}, "done", false});
  CHECK(peer.run_until([&] { return peer.closed == 1; }));
  CHECK(contains(peer.received, "done"));
}

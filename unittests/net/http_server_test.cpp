#include "acaciasill/net/http_server.h"

#include <optional>

#include <asio.hpp>
#include <catch2/catch.hpp>

using namespace acaciasill;
using namespace acaciasill::net;

namespace {

// A server whose requests wait until the test answers them, with a raw client socket.
struct server_fixture {
  explicit server_fixture(const http_server_settings& settings = {})
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

  // Runs until the condition holds or 1000 iterations have passed; returns whether it holds.
  template <typename Condition>
  bool run_until(Condition condition) {
    for (int iteration = 0; iteration < 1000 && !condition(); ++iteration) {
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
    connection_ended =
        connection_ended || error == asio::error::eof || error == asio::error::connection_reset;
  }

  asio::io_context context;
  std::vector<http_request> requests;
  std::vector<http_responder> responders;
  int closed = 0;
  http_server server;
  asio::ip::tcp::socket socket;
  std::string received;
  bool connection_ended = false;
};

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("responses to pipelined requests are sent in request order") {
  server_fixture fixture;
  fixture.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\n\r\n");
  REQUIRE(fixture.run_until([&] { return fixture.requests.size() == 3; }));
  fixture.responders[2]({200, {}, "three", false});
  fixture.responders[0]({200, {}, "one", false});
  REQUIRE(fixture.run_until([&] { return contains(fixture.received, "one"); }));
  CHECK_FALSE(contains(fixture.received, "three"));
  fixture.responders[1]({200, {}, "two", false});
  REQUIRE(fixture.run_until([&] { return contains(fixture.received, "three"); }));
  CHECK(fixture.received.find("one") < fixture.received.find("two"));
  CHECK(fixture.received.find("two") < fixture.received.find("three"));
}

TEST_CASE("a chunked body is reassembled and not parsed as requests") {
  server_fixture fixture;
  fixture.send(
      "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nGET /\r\n6\r\n HTTP/\r\n0"
      "\r\n\r\n");
  REQUIRE(fixture.run_until([&] { return !fixture.requests.empty(); }));
  CHECK(fixture.requests[0].body == "GET / HTTP/");
  CHECK(fixture.requests.size() == 1);
}

// Otherwise hops could disagree on where the request ends.
TEST_CASE("a request with both Content-Length and chunked encoding is rejected") {
  server_fixture fixture;
  fixture.send(
      "POST /a HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  REQUIRE(fixture.run_until([&] { return fixture.connection_ended; }));
  CHECK(contains(fixture.received, "HTTP/1.1 400"));
  CHECK(fixture.requests.empty());
}

TEST_CASE("a header over the limit gets 431 and closes the connection") {
  http_server_settings settings;
  settings.max_header_bytes = 100;
  server_fixture fixture(settings);
  fixture.send("GET / HTTP/1.1\r\nX: " + std::string(200, 'x') + "\r\n\r\n");
  REQUIRE(fixture.run_until([&] { return fixture.connection_ended; }));
  CHECK(contains(fixture.received, "HTTP/1.1 431"));
}

TEST_CASE("413 for an oversized body follows the earlier responses") {
  http_server_settings settings;
  settings.max_body_bytes = 10;
  server_fixture fixture(settings);
  fixture.send("GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\nContent-Length: 20\r\n\r\n" +
               std::string(20, 'x'));
  REQUIRE(fixture.run_until([&] { return fixture.requests.size() == 1; }));
  CHECK_FALSE(contains(fixture.received, "413"));
  fixture.responders[0]({200, {}, "one", false});
  REQUIRE(fixture.run_until([&] { return fixture.connection_ended; }));
  CHECK(fixture.received.find("one") < fixture.received.find("HTTP/1.1 413"));
}

TEST_CASE("a client close is detected while its request is outstanding") {
  server_fixture fixture;
  fixture.send("GET / HTTP/1.1\r\n\r\n");
  REQUIRE(fixture.run_until([&] { return !fixture.requests.empty(); }));
  fixture.socket.shutdown(asio::ip::tcp::socket::shutdown_both);
  CHECK(fixture.run_until([&] { return fixture.closed == 1; }));
  // A response after the close is ignored.
  fixture.responders[0]({200, {}, "late", false});
}

TEST_CASE("a draining server closes each connection after its response") {
  server_fixture fixture;
  fixture.send("GET / HTTP/1.1\r\n\r\n");
  REQUIRE(fixture.run_until([&] { return !fixture.requests.empty(); }));
  fixture.server.set_draining();
  fixture.responders[0]({200, {}, "last", false});
  REQUIRE(fixture.run_until([&] { return fixture.connection_ended; }));
  CHECK(contains(fixture.received, "Connection: close"));
  CHECK(contains(fixture.received, "last"));
}

TEST_CASE("an idle connection times out unless a request is outstanding") {
  http_server_settings settings;
  settings.idle_timeout = support::milliseconds(1);
  server_fixture fixture(settings);
  fixture.send("GET / HTTP/1.1\r\n\r\n");
  REQUIRE(fixture.run_until([&] { return !fixture.requests.empty(); }));
  // Long enough for two timeout checks.
  for (int iteration = 0; iteration < 60; ++iteration) {
    fixture.context.restart();
    fixture.context.run_one_for(std::chrono::milliseconds(10));
  }
  CHECK(fixture.closed == 0);
  fixture.responders[0]({200, {}, "done", false});
  CHECK(fixture.run_until([&] { return fixture.closed == 1; }));
  CHECK(contains(fixture.received, "done"));
}

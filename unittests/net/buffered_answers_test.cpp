#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <asio.hpp>
#include <catch2/catch.hpp>

#include "acaciasill/net/http_client.h"

#include "net/answering_server.h"

// Limit on the memory of all answers that a client receives at the same time.

using namespace acaciasill;
using namespace acaciasill::net;
using namespace acaciasill::net::testing;

namespace {

constexpr std::size_t max_body_bytes = 1'000'000;
constexpr std::size_t max_buffered_bytes = 4'000'000;
constexpr int exchanges = 16;

client_request make_request(const answering_server& server) {
  client_request request;
  request.address = server.address();
  request.method = "GET";
  request.timeout = support::seconds(60);
  return request;
}

// A server that sends an incomplete answer and then nothing, and the exchanges with it.
struct stalled_exchanges {
  stalled_exchanges(asio::io_context& context, http_client& client, std::string text)
      : server(context) {
    server.text = std::move(text);
    server.then = after_answer::keep_open;
    for (int index = 0; index < exchanges; ++index) {
      client.send(make_request(server),
                  [this](client_response response) { ended.push_back(std::move(response)); });
    }
  }

  answering_server server;
  std::vector<client_response> ended;
};

std::string many_fields(std::size_t bytes) {
  std::string text = "HTTP/1.1 200 OK\r\n";
  while (text.size() < bytes) {
    text += "A:\r\n";
  }
  return text;
}

// Runs the context until the client has read what the servers sent.
void run_until_quiet(asio::io_context& context) {
  context.restart();
  while (context.run_one_for(std::chrono::milliseconds(200)) != 0) {
  }
}

} // namespace

TEST_CASE(
    "incomplete answers that exceed their limit together end their exchanges, largest first") {
  const std::string body(900'000, 'x');
  const auto text = GENERATE_COPY(values<std::string>({
      "HTTP/1.1 200 OK\r\nContent-Length: 950000\r\n\r\n" + body,
      "HTTP/1.1 200 OK\r\n\r\n" + body,
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nFFFFF\r\n" + body,
  }));
  asio::io_context context;
  http_client client(context, 64, max_body_bytes, max_buffered_bytes);
  stalled_exchanges stalled(context, client, text);
  run_until_quiet(context);
  CHECK(stalled.ended.size() >= exchanges - max_buffered_bytes / body.size());
  CHECK(stalled.ended.size() < exchanges);
  for (const auto& response : stalled.ended) {
    CHECK(response.end == exchange_end::too_large);
  }
  CHECK(client.counters().over_buffer_limit == stalled.ended.size());
  // Exchanges beside them go on.
  answering_server sound(context);
  sound.text = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + std::string(100'000, 'y');
  const auto response = exchange(context, client, make_request(sound));
  CHECK(response.end == exchange_end::answered);
  CHECK(response.body.size() == 100'000);
}

// Whatever the limit on all answers together, the one on each answer still holds.
TEST_CASE("an answer within its own limit is not ended while it is the only incomplete one") {
  asio::io_context context;
  constexpr std::size_t tiny_limit = 1000;
  http_client client(context, 64, max_body_bytes, tiny_limit);
  answering_server server(context);
  server.text = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(max_body_bytes) +
                "\r\n\r\n" + std::string(max_body_bytes, 'x');
  const auto response = exchange(context, client, make_request(server));
  CHECK(response.end == exchange_end::answered);
  CHECK(response.body.size() == max_body_bytes);
  CHECK(client.counters().over_buffer_limit == 0);
}

TEST_CASE("the limit on incomplete answers covers the fields of their heads") {
  asio::io_context context;
  // Each field occupies far more memory than the five bytes that state it.
  http_client client(context, 64, max_body_bytes, max_buffered_bytes);
  stalled_exchanges stalled(context, client, many_fields(60'000));
  run_until_quiet(context);
  CHECK(stalled.ended.size() >= exchanges / 2);
  CHECK(stalled.ended.size() < exchanges);
  for (const auto& response : stalled.ended) {
    CHECK(response.end == exchange_end::too_large);
  }
}

TEST_CASE("the memory of ended and cancelled exchanges counts no more") {
  asio::io_context context;
  http_client client(context, 64, max_body_bytes, max_buffered_bytes);
  answering_server server(context);
  server.text = "HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + std::string(900'000, 'x');
  server.then = after_answer::keep_open;
  constexpr int repeats = 20;
  for (int index = 0; index < repeats; ++index) {
    REQUIRE(exchange(context, client, make_request(server)).end == exchange_end::answered);
  }
  server.text.pop_back();
  for (int index = 0; index < repeats; ++index) {
    const auto id = client.send(make_request(server), [](const client_response&) {});
    run_until_quiet(context);
    client.cancel(id);
  }
  CHECK(client.counters().over_buffer_limit == 0);
}

TEST_CASE("an answer that states a body over its limit ends before the body") {
  asio::io_context context;
  http_client client(context, 64, max_body_bytes, max_buffered_bytes);
  answering_server server(context);
  server.text = "HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n";
  server.then = after_answer::keep_open;
  CHECK(exchange(context, client, make_request(server)).end == exchange_end::too_large);
}

TEST_CASE("a stated length without a body has no limit") {
  asio::io_context context;
  http_client client(context, 64, max_body_bytes, max_buffered_bytes);
  answering_server server(context);
  server.then = after_answer::keep_open;
  server.text = "HTTP/1.1 304 Not Modified\r\nContent-Length: 9000000000\r\n\r\n";
  CHECK(exchange(context, client, make_request(server)).end == exchange_end::answered);
  server.text = "HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n";
  auto request = make_request(server);
  request.method = "HEAD";
  CHECK(exchange(context, client, request).end == exchange_end::answered);
}

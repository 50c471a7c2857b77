#include "acaciasill/net/http_load_connection.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include <asio.hpp>
#include <catch2/catch.hpp>

#include "net/answering_server.h"

// Faulty answers that the load tool reads. A wrong reading makes its reports wrong.

using namespace acaciasill;
using namespace acaciasill::net;
using namespace acaciasill::net::testing;

namespace {

const std::string request_text = format_request("GET", "h", "/", "", "");

load_response send(asio::io_context& context, http_load_connection& connection) {
  std::optional<load_response> result;
  connection.send(request_text,
                  [&result](load_response response) { result = std::move(response); });
  asio::steady_timer limit(context, std::chrono::seconds(10));
  limit.async_wait([&connection](asio::error_code error) {
    if (!error) {
      connection.cancel();
    }
  });
  context.restart();
  while (!result) {
    context.run_one();
  }
  return *result;
}

load_response get_answer(const std::string& text, after_answer then = after_answer::close) {
  asio::io_context context;
  answering_server server(context);
  server.text = text;
  server.then = then;
  const auto connection = std::make_shared<http_load_connection>(context, server.address());
  return send(context, *connection);
}

} // namespace

TEST_CASE("the load tool counts no answer whose head is malformed") {
  const auto text = GENERATE(values<std::string>({
      "HTTP/1.1 000 X\r\nContent-Length: 5\r\n\r\nwhole",
      "HTTP/1.1 600 X\r\nContent-Length: 5\r\n\r\nwhole",
      "HTTP/1.1 200 OK\r\nX A: v\r\nContent-Length: 5\r\n\r\nwhole",
      "HTTP/1.1 200 OK\r\nx-outcome : completed\r\nContent-Length: 5\r\n\r\nwhole",
      "HTTP/1.1 200 OK\r\nA\x01: v\r\nContent-Length: 5\r\n\r\nwhole",
  }));
  INFO(text);
  CHECK(get_answer(text).result == transport_result::connection_lost);
}

TEST_CASE("the load tool does not take an interim response for the answer") {
  asio::io_context context;
  answering_server server(context);
  server.text = "HTTP/1.1 100 Continue\r\nx-outcome: not-run\r\n\r\n";
  server.rest = "HTTP/1.1 200 OK\r\nx-outcome: completed\r\nContent-Length: 5\r\n\r\nwhole";
  const auto connection = std::make_shared<http_load_connection>(context, server.address());
  const auto response = send(context, *connection);
  CHECK(response.result == transport_result::answered);
  CHECK(response.status == 200);
  CHECK(response.outcome == "completed");
  CHECK(response.body == "whole");
}

TEST_CASE("the load tool does not join bytes after an answer to it or use the connection again") {
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
  const auto rest = GENERATE_COPY(values<std::string>({answer, "HTTP/1.1 200 OK\r\n", "x"}));
  INFO(rest);
  asio::io_context context;
  answering_server server(context);
  server.text = answer + rest;
  server.then = after_answer::keep_open;
  const auto connection = std::make_shared<http_load_connection>(context, server.address());
  const auto response = send(context, *connection);
  CHECK(response.result == transport_result::answered);
  CHECK(response.body == "whole");
  CHECK_FALSE(connection->is_open());
}

TEST_CASE("the load tool gives up an answer without end") {
  const auto text = GENERATE(values<std::string>({
      "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
      "HTTP/1.1 200 OK\r\n\r\n",
  }));
  CHECK(
      get_answer(text + std::string(std::size_t{24} << 20U, 'x'), after_answer::keep_open).result ==
      transport_result::connection_lost);
}

TEST_CASE("the load tool counts no answer that ends in the middle") {
  const std::string whole =
      "HTTP/1.1 200 OK\r\nx-outcome: completed\r\nContent-Length: 5\r\n\r\nwhole";
  for (std::size_t length = 0; length < whole.size(); ++length) {
    INFO("cut after " << length << " bytes");
    CHECK(get_answer(whole.substr(0, length)).result == transport_result::connection_lost);
  }
  CHECK(get_answer(whole).result == transport_result::answered);
}

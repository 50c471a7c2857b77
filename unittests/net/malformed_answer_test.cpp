#include <string>
#include <tuple>

#include <asio.hpp>
#include <catch2/catch.hpp>

#include "acaciasill/net/http_client.h"

#include "net/answering_server.h"

// Answers whose head is not valid HTTP although the parser accepts it. The stand-in keeps the
// connection open, so that a client that waits for more ends with a timeout.

using namespace acaciasill;
using namespace acaciasill::net;
using namespace acaciasill::net::testing;

namespace {

client_response get_answer(const std::string& text) {
  asio::io_context context;
  answering_server server(context);
  server.text = text;
  server.then = after_answer::keep_open;
  http_client client(context, 4, 100'000);
  client_request request;
  request.address = server.address();
  request.method = "GET";
  return exchange(context, client, request);
}

} // namespace

TEST_CASE("an answer with a status outside the valid range ends the exchange") {
  const std::string status = GENERATE("000", "001", "099", "600", "999", "0", "20", "2000");
  const std::string body = GENERATE("", "whole");
  INFO(status);
  CHECK(get_answer("HTTP/1.1 " + status + " X\r\nSignature: abc\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body)
            .end == exchange_end::broken);
}

TEST_CASE("an answer with any valid final status is accepted") {
  const int status = GENERATE(range(200, 600));
  const bool has_body = status != 204 && status != 304;
  const auto response = get_answer("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " +
                                   (has_body ? "5\r\n\r\nwhole" : "0\r\n\r\n"));
  REQUIRE(response.end == exchange_end::answered);
  CHECK(response.status == status);
  CHECK(response.body == (has_body ? "whole" : ""));
}

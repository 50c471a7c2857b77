#include <string>
#include <tuple>
#include <vector>

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

TEST_CASE("an answer with a field name that is no token ends the exchange") {
  const std::string line = GENERATE_COPY(values<std::string>({
      "X A: v",
      "A : v",
      "A\t: v",
      "Content-Length : 5",
      "Transfer-Encoding : chunked",
      std::string("A\0B: v", 6),
      "A\x01"
      "B: v",
      "A\x7f"
      "B: v",
      "A\x80"
      "B: v",
      "\"A\": v",
      "(A): v",
      "A/B: v",
      "A@B: v",
      "{A}: v",
      ": v",
      "A",
  }));
  INFO(line);
  const std::string head = "HTTP/1.1 200 OK\r\nSignature: abc\r\n";
  CHECK(get_answer(head + line + "\r\nContent-Length: 5\r\n\r\nwhole").end == exchange_end::broken);
  CHECK(get_answer(head + "Content-Length: 5\r\n" + line + "\r\n\r\nwhole").end ==
        exchange_end::broken);
  CHECK(
      get_answer(head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n" + line + "\r\n\r\n")
          .end == exchange_end::broken);
}

// A later line that begins with a blank continues the value of the line before.
TEST_CASE("an answer whose first field line begins with a blank ends the exchange") {
  CHECK(get_answer("HTTP/1.1 200 OK\r\n A: v\r\nContent-Length: 5\r\n\r\nwhole").end ==
        exchange_end::broken);
}

TEST_CASE("an answer with a control byte in the value of a field ends the exchange") {
  const char byte = GENERATE('\0', '\x01', '\x08', '\x0b', '\x1f', '\x7f');
  CHECK(get_answer(std::string("HTTP/1.1 200 OK\r\nA: v") + byte +
                   "w\r\nContent-Length: 5\r\n\r\nwhole")
            .end == exchange_end::broken);
}

TEST_CASE("an answer with every byte that a token may have in a field name is accepted") {
  const std::string name = "!#$%&'*+-.^_`|~09azAZ";
  const auto response =
      get_answer("HTTP/1.1 200 OK\r\n" + name + ": v\r\nContent-Length: 5\r\n\r\nwhole");
  REQUIRE(response.end == exchange_end::answered);
  REQUIRE(response.headers.size() == 2);
  CHECK(response.headers[0].name == name);
  CHECK(response.headers[0].value == "v");
  CHECK(response.body == "whole");
}

TEST_CASE("an answer whose field name arrives in parts is accepted") {
  const std::string whole = "HTTP/1.1 200 OK\r\nNa-me: v\r\nContent-Length: 5\r\n\r\nwhole";
  const auto begin = whole.find("Na-me");
  for (auto split = begin; split <= begin + 6; ++split) {
    INFO("split after " << split << " bytes");
    asio::io_context context;
    answering_server server(context);
    server.text = whole.substr(0, split);
    server.rest = whole.substr(split);
    http_client client(context, 4, 100'000);
    client_request request;
    request.address = server.address();
    request.method = "GET";
    const auto response = exchange(context, client, request);
    REQUIRE(response.end == exchange_end::answered);
    REQUIRE(response.headers.size() == 2);
    CHECK(response.headers[0].name == "Na-me");
    CHECK(response.headers[0].value == "v");
    CHECK(response.body == "whole");
  }
}

TEST_CASE("an answer that cannot have a body ends with its head") {
  const std::string status = GENERATE("204 No Content", "304 Not Modified");
  const std::string field = GENERATE("Content-Length: 5", "Transfer-Encoding: chunked");
  const auto response = get_answer("HTTP/1.1 " + status + "\r\n" + field + "\r\n\r\n");
  CHECK(response.end == exchange_end::answered);
  CHECK(response.body.empty());
}

TEST_CASE("an interim response takes no bytes of the answer for its body") {
  const std::string field = GENERATE("Content-Length: 5", "Transfer-Encoding: chunked");
  const auto response = get_answer("HTTP/1.1 103 Early Hints\r\n" + field +
                                   "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
  REQUIRE(response.end == exchange_end::answered);
  CHECK(response.status == 200);
  CHECK(response.body == "whole");
}

// No request asks for another protocol.
TEST_CASE("an answer that switches protocols ends the exchange") {
  const std::string fields = GENERATE("", "Connection: upgrade\r\nUpgrade: other\r\n");
  const std::string rest = GENERATE("", "bytes of the other protocol");
  CHECK(get_answer("HTTP/1.1 101 Switching Protocols\r\n" + fields + "\r\n" + rest).end ==
        exchange_end::broken);
}

// Such a body would be passed on as it is, without the field that states its coding.
TEST_CASE("an answer in a transfer coding other than chunks ends the exchange") {
  const auto coding =
      GENERATE(values<std::string>({"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked",
                                    "chunked\r\nTransfer-Encoding: chunked", "xchunked", ""}));
  const auto body = GENERATE(values<std::string>({"whole", "5\r\nwhole\r\n0\r\n\r\n"}));
  INFO(coding << ", " << body);
  asio::io_context context;
  answering_server server(context);
  server.text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n" + body;
  http_client client(context, 4, 100'000);
  client_request request;
  request.address = server.address();
  request.method = "GET";
  CHECK(exchange(context, client, request).end == exchange_end::broken);
}

TEST_CASE("an answer that states the absence of a coding is accepted") {
  asio::io_context context;
  answering_server server(context);
  server.text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nwhole";
  http_client client(context, 4, 100'000);
  client_request request;
  request.address = server.address();
  request.method = "GET";
  const auto response = exchange(context, client, request);
  REQUIRE(response.end == exchange_end::answered);
  CHECK(response.body == "whole");
}

TEST_CASE("an answer in chunks is accepted in any case of its coding") {
  const auto coding = GENERATE(values<std::string>({"chunked", "Chunked", " chunked "}));
  const auto response = get_answer("HTTP/1.1 200 OK\r\nTransfer-Encoding:" + coding +
                                   "\r\n\r\n5\r\nwhole\r\n0\r\n\r\n");
  REQUIRE(response.end == exchange_end::answered);
  CHECK(response.body == "whole");
}

TEST_CASE("the fields behind a body in chunks are not those of the head") {
  const auto response = get_answer("HTTP/1.1 200 OK\r\nA: v\r\nTransfer-Encoding: chunked\r\n\r\n"
                                   "5\r\nwhole\r\n0\r\nRefused: 1\r\nA: w\r\n\r\n");
  REQUIRE(response.end == exchange_end::answered);
  CHECK(response.body == "whole");
  CHECK(response.headers ==
        std::vector<wire::header_field>{{"A", "v"}, {"Transfer-Encoding", "chunked"}});
}

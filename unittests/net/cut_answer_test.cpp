#include <string>
#include <tuple>

#include <asio.hpp>
#include <catch2/catch.hpp>

#include "acaciasill/net/http_client.h"

#include "net/answering_server.h"

// Answers that end in the middle. The stand-in sends the first bytes of an answer and closes the
// connection, or resets it.

using namespace acaciasill;
using namespace acaciasill::net;
using namespace acaciasill::net::testing;

// Guards against a success that a caller gets although the server stopped within its answer.
TEST_CASE("an answer that ends in its head or in a framed body is never complete") {
  const std::string head = "HTTP/1.1 200 OK\r\nCall-Number: own\r\nSignature: abc\r\n";
  const auto [what, whole, end] = GENERATE_COPY(table<std::string, std::string, std::size_t>({
      {"a length", head + "Content-Length: 5\r\n\r\nwhole", 0},
      {"no body", head + "Content-Length: 0\r\n\r\n", 0},
      {"chunks", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", 0},
      {"a trailer", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nA: b\r\n\r\n", 0},
      // Such a body may end anywhere, so only the head counts.
      {"no length", head + "\r\nwhole", 5},
      {"an interim response", "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
       0},
      {"an older version", "HTTP/1.0 200 OK\r\nSignature: abc\r\nContent-Length: 5\r\n\r\nwhole",
       0},
      {"a folded line", head + "A: b\r\n c\r\nContent-Length: 5\r\n\r\nwhole", 0},
  }));
  const bool resets = GENERATE(false, true);
  asio::io_context context;
  answering_server server(context);
  server.then = resets ? after_answer::reset : after_answer::close;
  http_client client(context, 4, 1000);
  client_request request;
  request.address = server.address();
  request.method = GENERATE("GET", "POST");
  request.headers = {{"Call-Number", "own"}};
  request.correlation_field = "Call-Number";
  const auto last = whole.size() - end;
  for (std::size_t length = 0; length < last; ++length) {
    INFO(what << ", cut after " << length << " bytes" << (resets ? ", reset" : ""));
    server.text = whole.substr(0, length);
    CHECK(exchange(context, client, request).end == exchange_end::broken);
  }
}

// Guards against the error of a write that hides the reset from the read after it, which then sees
// the end of the stream instead.
TEST_CASE("an answer without a length is not complete if its connection is reset during the "
          "upload") {
  // Exceeds what the sockets buffer, so that the client is still writing when the answer arrives.
  constexpr std::size_t upload_bytes = 12'000'000;
  constexpr int exchanges = 8;
  asio::io_context context;
  answering_server server(context);
  server.then = after_answer::reset;
  server.text = "HTTP/1.1 200 OK\r\nSignature: abc\r\n\r\n" + std::string(2000, 'x');
  http_client client(context, 4, 100'000);
  client_request request;
  request.address = server.address();
  request.method = GENERATE("POST", "PUT");
  request.body.assign(upload_bytes, 'u');
  for (int index = 0; index < exchanges; ++index) {
    CHECK(exchange(context, client, request).end == exchange_end::broken);
  }
}

TEST_CASE("an answer with a length that is complete before a reset during the upload is kept") {
  constexpr std::size_t upload_bytes = 12'000'000;
  asio::io_context context;
  answering_server server(context);
  server.then = after_answer::reset;
  server.text = "HTTP/1.1 413 Content Too Large\r\nContent-Length: 5\r\n\r\nwhole";
  http_client client(context, 4, 100'000);
  client_request request;
  request.address = server.address();
  request.method = "POST";
  request.body.assign(upload_bytes, 'u');
  const auto response = exchange(context, client, request);
  CHECK(response.end == exchange_end::answered);
  CHECK(response.status == 413);
  CHECK(response.body == "whole");
}

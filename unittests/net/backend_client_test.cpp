#include "acaciasill/net/backend_client.h"

#include <optional>

#include <asio.hpp>
#include <catch2/catch.hpp>

using namespace acaciasill;
using namespace acaciasill::net;

namespace {

// A server on loopback that answers the first request of its first connection, and closes each
// connection without an answer when a further request arrives.
class dropping_server {
public:
  explicit dropping_server(asio::io_context& context)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()) + "/";
  }

  int requests = 0;

private:
  void accept() {
    acceptor_.async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
      if (!error) {
        serve(std::make_shared<asio::ip::tcp::socket>(std::move(socket)));
        accept();
      }
    });
  }

  void serve(const std::shared_ptr<asio::ip::tcp::socket>& socket) {
    auto text = std::make_shared<std::string>();
    asio::async_read_until(*socket, asio::dynamic_buffer(*text), "\r\n\r\n",
                           [this, socket, text](asio::error_code error, std::size_t /*size*/) {
                             if (error) {
                               return;
                             }
                             if (++requests > 1) {
                               socket->close();
                               return;
                             }
                             static const std::string answer =
                                 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                             asio::write(*socket, asio::buffer(answer));
                             serve(socket);
                           });
  }

  asio::ip::tcp::acceptor acceptor_;
};

backend_response exchange(asio::io_context& context, backend_client& client,
                          const backend_request& request) {
  std::optional<backend_response> result;
  client.send(request, [&result](backend_response response) { result = std::move(response); });
  context.restart();
  while (!result) {
    context.run_one();
  }
  return *result;
}

} // namespace

TEST_CASE("a call that is not idempotent is never sent twice on a kept connection that died") {
  asio::io_context context;
  dropping_server server(context);
  backend_client client(context, 4, 1000);
  backend_request request;
  request.url = server.url();
  request.method = "POST";
  CHECK(exchange(context, client, request).end == backend_end::answered);
  request.repeatable = false;
  CHECK(exchange(context, client, request).end == backend_end::broken);
  CHECK(server.requests == 2);
}

TEST_CASE("a refused connection is told from a broken one") {
  asio::io_context context;
  backend_client client(context, 4, 1000);
  backend_request request;
  request.method = "GET";
  // Nobody listens on the discard port of loopback.
  request.url = "http://127.0.0.1:9/";
  CHECK(exchange(context, client, request).end == backend_end::not_sent);
}

TEST_CASE("a response over the limit ends the exchange") {
  asio::io_context context;
  dropping_server server(context);
  backend_client client(context, 4, 1);
  backend_request request;
  request.url = server.url();
  request.method = "GET";
  CHECK(exchange(context, client, request).end == backend_end::too_large);
}

TEST_CASE("a cancelled exchange ends at once") {
  asio::io_context context;
  dropping_server server(context);
  backend_client client(context, 4, 1000);
  backend_request request;
  request.url = server.url();
  request.method = "GET";
  std::optional<backend_response> result;
  const auto id =
      client.send(request, [&result](backend_response response) { result = std::move(response); });
  client.cancel(id);
  REQUIRE(result.has_value());
  CHECK(result->end == backend_end::cancelled);
}

TEST_CASE("a socket that gets the number of one that was just closed is watched like any other") {
  asio::io_context context;
  dropping_server server(context);
  server.requests = 1; // From now on every request ends its connection.
  // With one connection at a time, libcurl opens the next one while it closes the last.
  backend_client client(context, 1, 1000);
  backend_request request;
  request.url = server.url();
  request.method = "GET";
  request.repeatable = false;
  constexpr int exchanges = 20;
  int ended = 0;
  for (int i = 0; i < exchanges; ++i) {
    client.send(request, [&ended](const backend_response& response) {
      CHECK(response.end == backend_end::broken);
      ++ended;
    });
  }
  while (ended < exchanges) {
    context.run_one();
  }
  CHECK(server.requests == 1 + exchanges);
}

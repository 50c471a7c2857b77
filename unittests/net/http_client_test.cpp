#include "acaciasill/net/http_client.h"

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

  asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

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

client_response exchange(asio::io_context& context, http_client& client,
                         const client_request& request) {
  std::optional<client_response> result;
  client.send(request, [&result](client_response response) { result = std::move(response); });
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
  http_client client(context, 4, 1000);
  client_request request;
  request.address = server.address();
  request.method = "POST";
  CHECK(exchange(context, client, request).end == exchange_end::answered);
  request.repeatable = false;
  CHECK(exchange(context, client, request).end == exchange_end::broken);
  CHECK(server.requests == 2);
}

TEST_CASE("a refused connection is told from a broken one") {
  asio::io_context context;
  http_client client(context, 4, 1000);
  client_request request;
  request.method = "GET";
  // Nobody listens on the discard port of loopback.
  request.address = {asio::ip::make_address("127.0.0.1"), 9};
  CHECK(exchange(context, client, request).end == exchange_end::not_sent);
}

TEST_CASE("a response over the limit ends the exchange") {
  asio::io_context context;
  dropping_server server(context);
  http_client client(context, 4, 1);
  client_request request;
  request.address = server.address();
  request.method = "GET";
  CHECK(exchange(context, client, request).end == exchange_end::too_large);
}

TEST_CASE("a cancelled exchange ends at once") {
  asio::io_context context;
  dropping_server server(context);
  http_client client(context, 4, 1000);
  client_request request;
  request.address = server.address();
  request.method = "GET";
  std::optional<client_response> result;
  const auto id =
      client.send(request, [&result](client_response response) { result = std::move(response); });
  client.cancel(id);
  REQUIRE(result.has_value());
  CHECK(result->end == exchange_end::cancelled);
}

TEST_CASE("a socket that gets the number of one that was just closed is watched like any other") {
  asio::io_context context;
  dropping_server server(context);
  server.requests = 1; // From now on every request ends its connection.
  // With one connection at a time, the next one is opened while the last one closes.
  http_client client(context, 1, 1000);
  client_request request;
  request.address = server.address();
  request.method = "GET";
  request.repeatable = false;
  constexpr int exchanges = 20;
  int ended = 0;
  for (int i = 0; i < exchanges; ++i) {
    client.send(request, [&ended](const client_response& response) {
      CHECK(response.end == exchange_end::broken);
      ++ended;
    });
  }
  while (ended < exchanges) {
    context.run_one();
  }
  CHECK(server.requests == 1 + exchanges);
}

namespace {

// A server that answers each request with the next text of a script, and closes the connection
// after a text where the script says so.
class scripted_server {
public:
  struct step {
    std::string text;
    bool close = false;
  };

  scripted_server(asio::io_context& context, std::vector<step> script)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}), script_(std::move(script)) {
    accept();
  }

  asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  std::size_t requests = 0;
  int connections = 0;

private:
  void accept() {
    acceptor_.async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
      if (!error) {
        ++connections;
        serve(std::make_shared<asio::ip::tcp::socket>(std::move(socket)),
              std::make_shared<std::string>());
        accept();
      }
    });
  }

  void serve(const std::shared_ptr<asio::ip::tcp::socket>& socket,
             const std::shared_ptr<std::string>& text) {
    asio::async_read_until(*socket, asio::dynamic_buffer(*text), "\r\n\r\n",
                           [this, socket, text](asio::error_code error, std::size_t size) {
                             if (error || requests >= script_.size()) {
                               return;
                             }
                             text->erase(0, size);
                             const auto& next = script_[requests++];
                             asio::write(*socket, asio::buffer(next.text));
                             if (next.close) {
                               socket->close();
                               return;
                             }
                             serve(socket, text);
                           });
  }

  asio::ip::tcp::acceptor acceptor_;
  std::vector<step> script_;
};

client_request numbered(const scripted_server& server, const std::string& id) {
  client_request request;
  request.address = server.address();
  request.method = "GET";
  request.headers = {{"Request-Number", id}};
  request.echoed_field = "Request-Number";
  return request;
}

std::string answer(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nRequest-Number: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST_CASE("a second response behind the first is never taken for the next one's") {
  asio::io_context context;
  scripted_server server(context,
                         {{answer("1", "one") + answer("1", "again")}, {answer("2", "two")}});
  http_client client(context, 4, 1000);
  CHECK(exchange(context, client, numbered(server, "1")).body == "one");
  CHECK(exchange(context, client, numbered(server, "2")).body == "two");
  CHECK(server.connections == 2);
  CHECK(client.counters().excess_bytes > 0);
}

TEST_CASE("a late response of an earlier request is dropped and the right one is awaited") {
  asio::io_context context;
  scripted_server server(context,
                         {{answer("1", "one")}, {answer("1", "late") + answer("2", "two")}});
  http_client client(context, 4, 1000);
  CHECK(exchange(context, client, numbered(server, "1")).body == "one");
  CHECK(exchange(context, client, numbered(server, "2")).body == "two");
  CHECK(client.counters().foreign_responses == 1);
}

TEST_CASE("a response without a length ends with its connection") {
  asio::io_context context;
  scripted_server server(context, {{"HTTP/1.1 200 OK\r\nRequest-Number: 1\r\n\r\nwhole", true}});
  http_client client(context, 4, 1000);
  const auto response = exchange(context, client, numbered(server, "1"));
  CHECK(response.end == exchange_end::answered);
  CHECK(response.body == "whole");
}

TEST_CASE("a response that breaks off is no response") {
  asio::io_context context;
  scripted_server server(context, {{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true},
                                   {"not HTTP\r\n", true}});
  http_client client(context, 4, 1000);
  CHECK(exchange(context, client, numbered(server, "1")).end == exchange_end::broken);
  CHECK(exchange(context, client, numbered(server, "2")).end == exchange_end::broken);
}

TEST_CASE("a request that may be repeated survives the end of a kept connection") {
  asio::io_context context;
  scripted_server server(context, {{answer("1", "one")}, {"", true}, {answer("2", "two")}});
  http_client client(context, 4, 1000);
  CHECK(exchange(context, client, numbered(server, "1")).body == "one");
  CHECK(exchange(context, client, numbered(server, "2")).body == "two");
  CHECK(server.connections == 2);
}

TEST_CASE("requests that must not be repeated share a connection that was used lately") {
  asio::io_context context;
  scripted_server server(context, {{answer("1", "one")}, {answer("2", "two")}});
  http_client client(context, 4, 1000);
  auto first = numbered(server, "1");
  auto second = numbered(server, "2");
  first.repeatable = second.repeatable = false;
  CHECK(exchange(context, client, first).body == "one");
  CHECK(exchange(context, client, second).body == "two");
  CHECK(server.connections == 1);
}

TEST_CASE("a response that ends its connection leaves none to use again") {
  asio::io_context context;
  scripted_server server(context,
                         {{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"},
                          {answer("2", "two")}});
  http_client client(context, 4, 1000);
  CHECK(exchange(context, client, numbered(server, "1")).body == "ok");
  CHECK(exchange(context, client, numbered(server, "2")).body == "two");
  CHECK(server.connections == 2);
}

#include "acaciasill/net/http_client.h"

#include <optional>

#include <asio.hpp>
#include <catch2/catch.hpp>

using namespace acaciasill;
using namespace acaciasill::net;

namespace {

// A loopback server that answers only its first request and closes the connection without a
// response on every later one.
class dropping_server {
public:
  explicit dropping_server(asio::io_context& context)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }

  asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  int requests = 0;
  // Whether the server stops listening at its second request.
  bool crashes = false;

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
    auto buffer = std::make_shared<std::string>();
    asio::async_read_until(*socket, asio::dynamic_buffer(*buffer), "\r\n\r\n",
                           [this, socket, buffer](asio::error_code error, std::size_t /*size*/) {
                             if (error) {
                               return;
                             }
                             if (++requests > 1) {
                               if (crashes) {
                                 acceptor_.close();
                               }
                               socket->close();
                               return;
                             }
                             static const std::string response_text =
                                 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                             asio::write(*socket, asio::buffer(response_text));
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

TEST_CASE("a non-repeatable request is not resent when a reused connection closes") {
  asio::io_context context;
  dropping_server server(context);
  http_client client(context, 4, 1000);
  client_request request;
  request.address = server.address();
  request.method = "POST";
  CHECK(exchange(context, client, request).end == exchange_end::answered);
  request.repeatable = false;
  request.resend_on_closed_connection = true;
  CHECK(exchange(context, client, request).end == exchange_end::broken);
  CHECK(server.requests == 2);
}

TEST_CASE("a request that the server may have run before it crashed is not reported as not sent") {
  asio::io_context context;
  dropping_server server(context);
  server.crashes = true;
  http_client client(context, 4, 1000);
  client_request request;
  request.address = server.address();
  request.method = "GET";
  request.resend_on_closed_connection = true;
  CHECK(exchange(context, client, request).end == exchange_end::answered);
  CHECK(exchange(context, client, request).end == exchange_end::broken);
  CHECK(server.requests == 2);
}

TEST_CASE("a refused connection is reported as not sent") {
  asio::io_context context;
  http_client client(context, 4, 1000);
  client_request request;
  request.method = "GET";
  // Nothing listens on the discard port of the loopback interface.
  request.address = {asio::ip::make_address("127.0.0.1"), 9};
  CHECK(exchange(context, client, request).end == exchange_end::not_sent);
}

TEST_CASE("a response over the size limit ends the exchange") {
  asio::io_context context;
  dropping_server server(context);
  http_client client(context, 4, 1);
  client_request request;
  request.address = server.address();
  request.method = "GET";
  CHECK(exchange(context, client, request).end == exchange_end::too_large);
}

TEST_CASE("a cancelled exchange ends immediately") {
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

TEST_CASE("a socket that reuses the descriptor of a closed one still receives events") {
  asio::io_context context;
  dropping_server server(context);
  server.requests = 1; // Makes the server close the connection on every request.
  // With one connection at a time, each connection opens while the previous one closes.
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

// A server that answers each request with the next step of a script and closes the connection if
// the step says so.
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
             const std::shared_ptr<std::string>& buffer) {
    asio::async_read_until(*socket, asio::dynamic_buffer(*buffer), "\r\n\r\n",
                           [this, socket, buffer](asio::error_code error, std::size_t size) {
                             if (error || requests >= script_.size()) {
                               return;
                             }
                             buffer->erase(0, size);
                             const auto& next = script_[requests++];
                             asio::write(*socket, asio::buffer(next.text));
                             if (next.close) {
                               socket->close();
                               return;
                             }
                             serve(socket, buffer);
                           });
  }

  asio::ip::tcp::acceptor acceptor_;
  std::vector<step> script_;
};

client_request request_with_number(const std::string& id) {
  client_request request;
  request.method = "GET";
  request.headers = {{"Request-Number", id}};
  request.correlation_field = "Request-Number";
  return request;
}

client_request request_with_number(const scripted_server& server, const std::string& id) {
  auto request = request_with_number(id);
  request.address = server.address();
  return request;
}

std::string response_text(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nRequest-Number: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST_CASE("an extra response is not matched to the next request") {
  asio::io_context context;
  scripted_server server(context, {{response_text("1", "one") + response_text("1", "again")},
                                   {response_text("2", "two")}});
  http_client client(context, 4, 1000);
  CHECK(exchange(context, client, request_with_number(server, "1")).body == "one");
  CHECK(exchange(context, client, request_with_number(server, "2")).body == "two");
  CHECK(server.connections == 2);
  CHECK(client.counters().excess_bytes > 0);
}

TEST_CASE("a late response to an earlier request is discarded") {
  asio::io_context context;
  scripted_server server(context, {{response_text("1", "one")},
                                   {response_text("1", "late") + response_text("2", "two")}});
  http_client client(context, 4, 1000);
  CHECK(exchange(context, client, request_with_number(server, "1")).body == "one");
  CHECK(exchange(context, client, request_with_number(server, "2")).body == "two");
  CHECK(client.counters().mismatched_responses == 1);
}

namespace {

const std::string rejection_text =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

// A server that rejects the first request of the first connection and writes the rejection once
// more, late, before its response to the next request of that connection.
class repeating_server {
public:
  explicit repeating_server(asio::io_context& context)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }

  asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

private:
  void accept() {
    acceptor_.async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
      if (!error) {
        serve(std::make_shared<asio::ip::tcp::socket>(std::move(socket)),
              std::make_shared<std::string>(), connections_++ == 0);
        accept();
      }
    });
  }

  void serve(const std::shared_ptr<asio::ip::tcp::socket>& socket,
             const std::shared_ptr<std::string>& buffer, bool rejects) {
    asio::async_read_until(
        *socket, asio::dynamic_buffer(*buffer), "\r\n\r\n",
        [this, socket, buffer, rejects](asio::error_code error, std::size_t size) {
          if (error) {
            return;
          }
          buffer->erase(0, size);
          const bool repeats = std::exchange(has_rejected_, has_rejected_ || rejects) && rejects;
          if (repeats) {
            asio::write(*socket, asio::buffer(rejection_text));
          }
          asio::write(*socket, asio::buffer(rejects && !repeats ? rejection_text
                                                                : response_text("2", "two")));
          serve(socket, buffer, rejects);
        });
  }

  asio::ip::tcp::acceptor acceptor_;
  int connections_ = 0;
  bool has_rejected_ = false;
};

} // namespace

// Guards against a copied rejection that is taken for the answer to a request that runs.
TEST_CASE("a late copy of a rejection without a number is not matched to the next request") {
  asio::io_context context;
  repeating_server server(context);
  http_client client(context, 4, 1000);
  auto first = request_with_number("1");
  auto second = request_with_number("2");
  first.address = second.address = server.address();
  CHECK(exchange(context, client, first).status == 503);
  const auto response = exchange(context, client, second);
  CHECK(response.status == 200);
  CHECK(response.body == "two");
}

TEST_CASE("a connection is kept after a rejection that bears the number of its request") {
  asio::io_context context;
  scripted_server server(context,
                         {{"HTTP/1.1 503 Service Unavailable\r\nRequest-Number: 1\r\nNot-Run: 1\r\n"
                           "Content-Length: 0\r\n\r\n"},
                          {response_text("2", "two")}});
  http_client client(context, 4, 1000);
  CHECK(exchange(context, client, request_with_number(server, "1")).status == 503);
  CHECK(exchange(context, client, request_with_number(server, "2")).body == "two");
  CHECK(server.connections == 1);
}

TEST_CASE("a response without a length ends when the connection closes") {
  asio::io_context context;
  scripted_server server(context, {{"HTTP/1.1 200 OK\r\nRequest-Number: 1\r\n\r\nwhole", true}});
  http_client client(context, 4, 1000);
  const auto response = exchange(context, client, request_with_number(server, "1"));
  CHECK(response.end == exchange_end::answered);
  CHECK(response.body == "whole");
}

TEST_CASE("a truncated or malformed response breaks the exchange") {
  asio::io_context context;
  scripted_server server(context, {{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true},
                                   {"not HTTP\r\n", true}});
  http_client client(context, 4, 1000);
  CHECK(exchange(context, client, request_with_number(server, "1")).end == exchange_end::broken);
  CHECK(exchange(context, client, request_with_number(server, "2")).end == exchange_end::broken);
}

// Guards against repeats that no retry budget, limit or draining server holds back.
TEST_CASE("a request that the server may have run is not sent again by the client") {
  asio::io_context context;
  scripted_server server(context,
                         {{response_text("1", "one")}, {"", true}, {response_text("2", "two")}});
  http_client client(context, 4, 1000);
  CHECK(exchange(context, client, request_with_number(server, "1")).body == "one");
  CHECK(exchange(context, client, request_with_number(server, "2")).end == exchange_end::broken);
  CHECK(server.requests == 2);
  CHECK(server.connections == 1);
}

TEST_CASE("a request is resent once when a reused connection closes if its sender allows it") {
  asio::io_context context;
  scripted_server server(context,
                         {{response_text("1", "one")}, {"", true}, {response_text("2", "two")}});
  http_client client(context, 4, 1000);
  CHECK(exchange(context, client, request_with_number(server, "1")).body == "one");
  auto second = request_with_number(server, "2");
  second.resend_on_closed_connection = true;
  CHECK(exchange(context, client, second).body == "two");
  CHECK(server.connections == 2);
}

TEST_CASE("non-repeatable requests reuse a recently used connection") {
  asio::io_context context;
  scripted_server server(context, {{response_text("1", "one")}, {response_text("2", "two")}});
  http_client client(context, 4, 1000);
  auto first = request_with_number(server, "1");
  auto second = request_with_number(server, "2");
  first.repeatable = second.repeatable = false;
  CHECK(exchange(context, client, first).body == "one");
  CHECK(exchange(context, client, second).body == "two");
  CHECK(server.connections == 1);
}

TEST_CASE("a connection is not reused after Connection: close") {
  asio::io_context context;
  scripted_server server(context,
                         {{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"},
                          {response_text("2", "two")}});
  http_client client(context, 4, 1000);
  CHECK(exchange(context, client, request_with_number(server, "1")).body == "ok");
  CHECK(exchange(context, client, request_with_number(server, "2")).body == "two");
  CHECK(server.connections == 2);
}

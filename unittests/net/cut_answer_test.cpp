#include <optional>
#include <string>
#include <utility>

#include <asio.hpp>
#include <catch2/catch.hpp>

#include "acaciasill/net/http_client.h"

// Answers that end in the middle. The stand-in sends the first bytes of an answer and closes the
// connection, or resets it.

using namespace acaciasill;
using namespace acaciasill::net;

namespace {

class cutting_server {
public:
  explicit cutting_server(asio::io_context& context)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }

  asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  std::string text;
  bool resets = false;

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
                             asio::write(*socket, asio::buffer(text));
                             if (resets) {
                               socket->set_option(asio::socket_base::linger(true, 0));
                             }
                             socket->close();
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
  cutting_server server(context);
  server.resets = resets;
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

#include <optional>
#include <string>
#include <tuple>

#include <asio.hpp>
#include <catch2/catch.hpp>

#include "acaciasill/net/http_client.h"

// Answers that never end. The stand-in repeats a text until the client closes the connection.

using namespace acaciasill;
using namespace acaciasill::net;

namespace {

constexpr std::size_t max_body_bytes = 100000;
// Bytes that the client may take, including what the sockets of both sides buffer.
constexpr std::size_t max_taken_bytes = std::size_t{16} << 20U;

// Sends a text once and another one without end on each connection.
class endless_server {
public:
  endless_server(asio::io_context& context, std::string first, std::string repeated)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}), first_(std::move(first)) {
    while (repeated_.size() < block_bytes) {
      repeated_ += repeated;
    }
    accept();
  }

  asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  std::size_t sent_bytes = 0;
  bool is_closed = false;

private:
  static constexpr std::size_t block_bytes = 16384;

  void accept() {
    acceptor_.async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
      if (!error) {
        send(std::make_shared<asio::ip::tcp::socket>(std::move(socket)), first_);
        accept();
      }
    });
  }

  void send(const std::shared_ptr<asio::ip::tcp::socket>& socket, const std::string& text) {
    asio::async_write(*socket, asio::buffer(text),
                      [this, socket](asio::error_code error, std::size_t size) {
                        sent_bytes += size;
                        is_closed = static_cast<bool>(error);
                        if (!error) {
                          send(socket, repeated_);
                        }
                      });
  }

  asio::ip::tcp::acceptor acceptor_;
  std::string first_;
  std::string repeated_;
};

} // namespace

TEST_CASE("an answer without end is given up long before the timeout, and its connection closed") {
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto [what, first, repeated] = GENERATE_COPY(table<std::string, std::string, std::string>({
      {"a status line", "HTTP/1.1 200 ", "O"},
      {"one header line", "HTTP/1.1 200 OK\r\nA: ", "x"},
      {"header lines", "HTTP/1.1 200 OK\r\n", "A: x\r\n"},
      {"no line at all", "", "x"},
      {"empty lines", "", "\r\n"},
      {"zero bytes", "", std::string(1, '\0')},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"responses to another request", "",
       "HTTP/1.1 200 OK\r\nCall-Number: other\r\nContent-Length: 0\r\n\r\n"},
      {"a body without a length", "HTTP/1.1 200 OK\r\n\r\n", "x"},
      {"a body with a huge length", "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "x"},
      {"chunks", chunked, "1\r\nx\r\n"},
      {"a chunk extension", chunked + "1;", "x"},
      {"a trailer", chunked + "0\r\n", "A: x\r\n"},
  }));
  INFO(what);
  asio::io_context context;
  endless_server server(context, first, repeated);
  http_client client(context, 4, max_body_bytes);
  client_request request;
  request.address = server.address();
  request.method = "GET";
  request.headers = {{"Call-Number", "own"}};
  request.correlation_field = "Call-Number";
  request.timeout = support::seconds(60);
  std::optional<client_response> result;
  client.send(request, [&result](client_response response) { result = std::move(response); });
  while ((!result || !server.is_closed) && server.sent_bytes < max_taken_bytes) {
    context.run_one();
  }
  REQUIRE(result);
  CHECK((result->end == exchange_end::broken || result->end == exchange_end::too_large));
  CHECK(server.is_closed);
  CHECK(server.sent_bytes < max_taken_bytes);
}

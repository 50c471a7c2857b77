#ifndef ACACIASILL_UNITTESTS_NET_ANSWERING_SERVER_H
#define ACACIASILL_UNITTESTS_NET_ANSWERING_SERVER_H

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <asio.hpp>

#include "acaciasill/net/http_client.h"

// A stand-in for a faulty server, and one exchange with it.
namespace acaciasill::net::testing {

// What the server does with a connection after its answer.
enum class after_answer : std::uint8_t { close, reset, keep_open };

// Answers each request with the same bytes as soon as the head of the request has arrived.
class answering_server {
public:
  explicit answering_server(asio::io_context& context)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }

  asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  std::string text;
  // Sent after the text, in a segment of its own.
  std::string rest;
  after_answer then = after_answer::close;

private:
  void accept() {
    acceptor_.async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
      if (!error) {
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
                             if (error) {
                               return;
                             }
                             buffer->erase(0, size);
                             send_text(socket, buffer);
                           });
  }

  void send_text(const std::shared_ptr<asio::ip::tcp::socket>& socket,
                 const std::shared_ptr<std::string>& buffer) {
    asio::async_write(*socket, asio::buffer(text),
                      [this, socket, buffer](asio::error_code error, std::size_t /*size*/) {
                        if (error) {
                          return;
                        }
                        if (!rest.empty()) {
                          send_rest(socket);
                          return;
                        }
                        if (then == after_answer::keep_open) {
                          serve(socket, buffer);
                          return;
                        }
                        if (then == after_answer::reset) {
                          socket->set_option(asio::socket_base::linger(true, 0));
                        }
                        socket->close();
                      });
  }

  void send_rest(const std::shared_ptr<asio::ip::tcp::socket>& socket) {
    pause_.expires_after(std::chrono::milliseconds(10));
    pause_.async_wait([this, socket](asio::error_code error) {
      if (!error) {
        asio::write(*socket, asio::buffer(rest), error);
      }
    });
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer pause_{acceptor_.get_executor()};
};

// Sends the request and runs the context until the exchange has ended.
inline client_response exchange(asio::io_context& context, http_client& client,
                                const client_request& request) {
  std::optional<client_response> result;
  client.send(request, [&result](client_response response) { result = std::move(response); });
  context.restart();
  while (!result) {
    context.run_one();
  }
  return *result;
}

} // namespace acaciasill::net::testing

#endif

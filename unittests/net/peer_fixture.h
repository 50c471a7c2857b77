#ifndef ACACIASILL_UNITTESTS_NET_PEER_FIXTURE_H
#define ACACIASILL_UNITTESTS_NET_PEER_FIXTURE_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "acaciasill/net/peer_link.h"
#include "acaciasill/net/peer_listener.h"
#include "acaciasill/wire/codec.h"
#include "acaciasill/wire/frame_reader.h"

// Helpers for single-threaded tests of connections between daemons over loopback.
namespace acaciasill::tests {

// Time after which waiting for a condition fails.
inline constexpr support::seconds wait_timeout{20};

inline net::peer_address loopback(std::uint16_t port = 0) {
  return {asio::ip::make_address("127.0.0.1"), port};
}

inline net::peer_settings keyed_settings(std::string key = "shared key") {
  net::peer_settings settings;
  settings.peer_key = std::move(key);
  return settings;
}

// Settings that let a raw_endpoint connect without a key.
inline net::peer_settings unauthenticated_settings() {
  net::peer_settings settings;
  settings.allow_unauthenticated = true;
  return settings;
}

inline wire::call_request request_with(std::uint64_t id, std::string body = {}) {
  wire::call_request request;
  request.id = {.high = 1, .low = id};
  request.service = "pricing";
  request.body = std::move(body);
  return request;
}

inline support::time_point far_deadline() {
  return support::monotonic_now() + wait_timeout;
}

// Runs the context until the condition holds; returns false after wait_timeout. The condition is
// not evaluated again once it has held, so it may have side effects.
inline bool run_until(asio::io_context& context, const std::function<bool()>& condition) {
  const auto end = support::monotonic_now() + wait_timeout;
  while (support::monotonic_now() < end) {
    if (condition()) {
      return true;
    }
    context.restart();
    context.run_one_for(std::chrono::milliseconds(5));
  }
  return false;
}

// Records the replies of calls.
struct reply_recorder {
  std::vector<wire::call_reply> replies;

  net::reply_callback callback() {
    return [this](wire::call_reply reply) { replies.push_back(std::move(reply)); };
  }
};

// Records the calls and cancellations that a listener receives.
struct call_recorder {
  struct call {
    net::call_key key;
    wire::call_request request;
    net::call_responder respond;
  };
  std::vector<call> calls;
  std::vector<net::call_key> cancelled;

  net::peer_listener_handlers handlers() {
    return {
        [this](const net::call_key& key, wire::call_request request, net::call_responder respond) {
          calls.push_back({key, std::move(request), std::move(respond)});
        },
        [this](const net::call_key& key) { cancelled.push_back(key); }};
  }
};

// Handlers that reply to each call immediately with the body of the request.
inline net::peer_listener_handlers echo_handlers() {
  return {[](const net::call_key&, wire::call_request request, const net::call_responder& respond) {
            wire::call_reply reply;
            reply.outcome = wire::outcome::completed;
            reply.code = support::result_code::ok;
            reply.body = std::move(request.body);
            respond(std::move(reply));
          },
          [](const net::call_key&) {}};
}

// Endpoint of a plain TCP connection, operated by the test while the context of the other end runs.
class raw_endpoint {
public:
  explicit raw_endpoint(asio::io_context& context) : context_(context), socket_(socket_context_) {}

  void accept(asio::ip::tcp::acceptor& acceptor) {
    acceptor.non_blocking(true);
    const auto has_accepted = [&] {
      asio::error_code error;
      acceptor.accept(socket_, error);
      return !error;
    };
    REQUIRE(run_until(context_, has_accepted));
  }
  void connect(const net::peer_address& address) { socket_.connect(address); }
  // Connects with a receive buffer of the size, in bytes.
  void connect(const net::peer_address& address, int receive_buffer_bytes) {
    socket_.open(address.protocol());
    socket_.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    socket_.connect(address);
  }
  void close() { socket_.close(); }
  void write(std::string_view bytes) {
    asio::write(socket_, asio::buffer(bytes.data(), bytes.size()));
  }

  // Reads the next frame; returns nullopt if the other end closed the connection.
  std::optional<wire::frame> read() {
    while (true) {
      if (const auto bytes = reader_.next(); bytes.ok() && *bytes) {
        return wire::decode_frame(**bytes).value();
      }
      if (!read_some()) {
        return std::nullopt;
      }
    }
  }

  // Waits until the other end closes the connection, discarding frames received before.
  bool is_closed() {
    while (read()) {
    }
    return true;
  }

  // Performs the accepting side of the handshake without a key.
  void accept_handshake() {
    REQUIRE(std::holds_alternative<wire::hello>(*read()));
    write(wire::encode(wire::challenge{.nonce = wire::make_nonce(), .tag = {}}));
    REQUIRE(std::holds_alternative<wire::proof>(*read()));
  }

  // Performs the connecting side of the handshake without a key.
  void perform_handshake() {
    write(wire::encode(wire::hello{.nonce = wire::make_nonce()}));
    REQUIRE(std::holds_alternative<wire::challenge>(*read()));
    write(wire::encode(wire::proof{}));
  }

private:
  bool read_some() {
    asio::error_code error;
    std::size_t count = 0;
    socket_.non_blocking(true);
    const auto has_read = [&] {
      const auto space = reader_.prepare();
      count = socket_.read_some(asio::buffer(space.data(), space.size()), error);
      return error != asio::error::would_block;
    };
    const bool was_met = run_until(context_, has_read);
    socket_.non_blocking(false);
    REQUIRE(was_met);
    reader_.commit(count);
    return !error;
  }

  asio::io_context& context_;
  asio::io_context socket_context_;
  asio::ip::tcp::socket socket_;
  wire::frame_reader reader_;
};

} // namespace acaciasill::tests

#endif

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

// Helpers for tests of connections between daemons, over loopback in one thread.
namespace acaciasill::tests {

// The time after which a condition that should come counts as absent.
inline constexpr support::seconds patience{20};

inline net::peer_address loopback(std::uint16_t port = 0) {
  return {asio::ip::make_address("127.0.0.1"), port};
}

inline net::peer_settings keyed_settings(std::string key = "shared key") {
  net::peer_settings settings;
  settings.peer_key = std::move(key);
  return settings;
}

// Settings with which a raw peer of the test needs no key.
inline net::peer_settings open_settings() {
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
  return support::monotonic_now() + patience;
}

// Runs the context until the condition holds; false where it does not come. The condition is not
// asked again once it held, so that it may do something of its own.
inline bool run_until(asio::io_context& context, const std::function<bool()>& condition) {
  const auto end = support::monotonic_now() + patience;
  while (support::monotonic_now() < end) {
    if (condition()) {
      return true;
    }
    context.restart();
    context.run_one_for(std::chrono::milliseconds(5));
  }
  return false;
}

// Keeps the replies that come.
struct reply_box {
  std::vector<wire::call_reply> replies;

  net::reply_callback callback() {
    return [this](wire::call_reply reply) { replies.push_back(std::move(reply)); };
  }
};

// A listener that keeps what it is handed.
struct call_box {
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

// Handlers that answer each call at once with its own body.
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

// One end of a plain connection, driven by hand while the context of the other end runs.
class raw_end {
public:
  explicit raw_end(asio::io_context& context) : context_(context), socket_(own_) {}

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
  void close() { socket_.close(); }
  void write(std::string_view bytes) {
    asio::write(socket_, asio::buffer(bytes.data(), bytes.size()));
  }

  // The next frame, or nothing where the other end closed.
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

  // Whether the other end closes the connection; frames before that are dropped.
  bool is_closed() {
    while (read()) {
    }
    return true;
  }

  // Plays the accepting side of the handshake without a key.
  void greet() {
    REQUIRE(std::holds_alternative<wire::hello>(*read()));
    write(wire::encode(wire::challenge{.nonce = wire::make_nonce(), .tag = {}}));
    REQUIRE(std::holds_alternative<wire::proof>(*read()));
  }

  // Plays the connecting side of the handshake without a key.
  void be_greeted() {
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
    const bool came = run_until(context_, has_read);
    socket_.non_blocking(false);
    REQUIRE(came);
    reader_.commit(count);
    return !error;
  }

  asio::io_context& context_;
  asio::io_context own_;
  asio::ip::tcp::socket socket_;
  wire::frame_reader reader_;
};

} // namespace acaciasill::tests

#endif

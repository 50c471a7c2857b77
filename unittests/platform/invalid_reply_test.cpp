#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <asio.hpp>
#include <catch2/catch.hpp>

#include "acaciasill/net/peer_listener.h"

#include "cluster_fixture.h"

using namespace acaciasill;
using namespace acaciasill::platform;
using namespace acaciasill::platform::testing;

namespace {

wire::call_reply make_answer() {
  wire::call_reply reply;
  reply.outcome = wire::outcome::completed;
  reply.code = support::result_code::ok;
  reply.http_status = 200;
  reply.headers = {{"Server-Stamp", "abc"}};
  reply.body = "whole";
  reply.threshold = decide::accept_all;
  return reply;
}

// Takes the place of the daemon beside the second service's server.
class answering_peer {
public:
  answering_peer(asio::io_context& context, const net::peer_address& address) {
    net::peer_settings settings;
    settings.allow_unauthenticated = true;
    auto listener =
        net::peer_listener::listen({&context}, address, settings,
                                   {[this](const net::call_key&, const wire::call_request&,
                                           const net::call_responder& respond) {
                                      ++calls;
                                      respond(reply);
                                    },
                                    [](const net::call_key&) {}});
    REQUIRE(listener.ok());
    listener_ = *std::move(listener);
  }

  wire::call_reply reply = make_answer();
  int calls = 0;

private:
  std::unique_ptr<net::peer_listener> listener_;
};

} // namespace

// Guards against answers that a daemon of another build has not checked.
TEST_CASE("a caller gets no malformed answer from another daemon", "[.invalid_reply]") {
  test_cluster cluster;
  cluster.report("ready", 1);
  REQUIRE(cluster.call_until("/a/x", 200).status == 200);
  // The row of the daemon remains, so that the other one goes on sending calls there.
  cluster.nodes[1].reset();
  answering_peer peer(cluster.context, {asio::ip::make_address("127.0.0.3"), cluster.first_port});
  REQUIRE(cluster.call_until("/a/x", 200).body == "whole");
  std::vector<wire::call_reply> malformed;
  for (const std::uint16_t status : {0, 99, 101, 199, 600, 999, 65535}) {
    malformed.push_back(make_answer());
    malformed.back().http_status = status;
  }
  for (const auto& field : std::vector<wire::header_field>{{"", "v"},
                                                           {"X A", "v"},
                                                           {"A ", "v"},
                                                           {"A:", "v"},
                                                           {"A\x01", "v"},
                                                           {"A\r\nB", "v"},
                                                           {"A", "v\r\nSet-Cookie: w"},
                                                           {"A", "v\nw"},
                                                           {"A", std::string("v\0w", 3)}}) {
    malformed.push_back(make_answer());
    malformed.back().headers.push_back(field);
  }
  for (const auto& reply : malformed) {
    INFO("status " << reply.http_status << ", field '" << reply.headers.back().name << "'");
    peer.reply = reply;
    for (const auto& [path, method] : {std::pair("/a/x", "GET"), std::pair("/b/x", "POST")}) {
      const auto calls_before = peer.calls;
      const auto response = cluster.call(path, method);
      CHECK(response.end == net::exchange_end::answered);
      CHECK(response.status == 502);
      CHECK(net::find_field(response.headers, "Server-Stamp") == nullptr);
      CHECK(net::find_field(response.headers, "Set-Cookie") == nullptr);
      CHECK(peer.calls == calls_before + 1);
    }
  }
  peer.reply = make_answer();
  CHECK(cluster.call("/a/x").body == "whole");
}

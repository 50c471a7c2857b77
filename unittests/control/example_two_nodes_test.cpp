// Example of a driver: two nodes of one data centre run through the control plane's interface, with
// an event queue in place of sockets, threads and clocks.
#include <map>
#include <queue>

#include <catch2/catch.hpp>

#include "acaciasill/control/node.h"

using namespace acaciasill;
using namespace acaciasill::control;

namespace {

struct queued_event {
  support::time_point at;
  std::uint64_t order = 0;
  std::string to;
  event input;

  bool operator<(const queued_event& other) const {
    return std::tie(at, order) > std::tie(other.at, other.order);
  }
};

struct driver {
  support::random_source random{1};
  support::time_point now;
  std::uint64_t order = 0;
  std::map<std::string, node_state_ptr> nodes;
  std::map<std::string, cluster_view> views;
  std::priority_queue<queued_event> events;

  void take(const std::string& from, const action& next) {
    if (const auto* sent = std::get_if<send_datagram>(&next)) {
      push(now + support::milliseconds(1), sent->to, peer_received{from, sent->message});
    }
    if (const auto* request = std::get_if<platform_request>(&next)) {
      const platform_answer lost{request->ticket, platform_end::failed_before, {}, {}};
      push(now + request->timeout, from, lost);
    }
    if (const auto* timer = std::get_if<set_timer>(&next)) {
      push(timer->at, from, timer_fired{});
    }
    if (const auto* published = std::get_if<publish_view>(&next)) {
      views[from] = published->view;
    }
  }

  void push(support::time_point at, const std::string& to, event input) {
    events.push({at, ++order, to, std::move(input)});
  }

  void deliver(const std::string& to, const event& input) {
    std::vector<action> actions;
    step(*nodes.at(to), input, now, random, actions);
    for (const auto& next : actions) {
      take(to, next);
    }
  }

  void run(support::seconds span) {
    const support::time_point end = now + span;
    while (!events.empty() && events.top().at <= end) {
      const queued_event next = events.top();
      events.pop();
      now = next.at;
      deliver(next.to, next.input);
    }
    now = end;
  }
};

node_settings make_settings(const std::string& number, const std::vector<std::string>& seeds) {
  node_settings settings;
  settings.name = "instance-" + number;
  settings.data_centre = "accra";
  settings.gossip_address = "127.0.0.1:200" + number;
  settings.call_address = "127.0.0.1:400" + number;
  settings.seeds = seeds;
  return settings;
}

} // namespace

TEST_CASE("two nodes discover each other and one leaves") {
  driver example;
  for (const auto& settings : {make_settings("1", {}), make_settings("2", {"127.0.0.1:2001"})}) {
    example.nodes[settings.gossip_address] = make_node(settings);
    example.deliver(settings.gossip_address, node_started{});
    example.deliver(settings.gossip_address,
                    backend_announced{"stock", 100, 750, "127.0.0.1:9000"});
  }
  example.run(support::seconds(3));
  CHECK(example.views["127.0.0.1:2001"].members.size() == 2);
  example.deliver("127.0.0.1:2002", shutdown_requested{});
  example.deliver("127.0.0.1:2002", in_flight_reported{0});
  example.run(support::seconds(3));
  CHECK(example.views["127.0.0.1:2001"].members.size() == 1);
}

// Cost of the control plane as a function of cluster size, in virtual time. These cases only
// measure and are hidden from the default run: control_tests "[slopes]" prints the results.
#include <cstdio>
#include <ctime>

#include <malloc.h>

#include <catch2/catch.hpp>

#include "acaciasill/control/simulated_cluster.h"

using namespace acaciasill;
using namespace acaciasill::control;
using support::milliseconds;
using support::seconds;

namespace {

constexpr seconds measured_span{60};

struct cost {
  double bytes = 0.0;
  double datagrams = 0.0;
  double processor = 0.0;
  double reads = 0.0;
  double writes = 0.0;
};

std::uint64_t sum(simulated_cluster& cluster, std::uint64_t simulated_node::*figure) {
  std::uint64_t total = 0;
  for (const auto& [address, node] : cluster.nodes()) {
    total += node.*figure;
  }
  return total;
}

// Cost per node and second. The processor share includes the simulation's own event queue and
// copies.
cost measure(simulated_cluster& cluster, const std::function<void(int)>& each_second) {
  const std::uint64_t bytes = sum(cluster, &simulated_node::bytes_sent);
  const std::uint64_t datagrams = sum(cluster, &simulated_node::datagrams_sent);
  const std::uint64_t reads = cluster.platform.reads;
  const std::uint64_t writes = cluster.platform.writes;
  const std::clock_t begin = std::clock();
  for (int second = 0; second < measured_span.count(); ++second) {
    each_second(second);
    cluster.run(seconds(1));
  }
  const double used = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
  const auto span = static_cast<double>(measured_span.count());
  const double shares = span * static_cast<double>(cluster.nodes().size());
  return {static_cast<double>(sum(cluster, &simulated_node::bytes_sent) - bytes) / shares,
          static_cast<double>(sum(cluster, &simulated_node::datagrams_sent) - datagrams) / shares,
          100.0 * used / shares, static_cast<double>(cluster.platform.reads - reads) / span,
          static_cast<double>(cluster.platform.writes - writes) / span};
}

std::vector<std::string> fill(simulated_cluster& cluster, int data_centres, int members) {
  std::vector<std::string> first;
  for (int number = 0; number < data_centres; ++number) {
    const std::string name = "dc" + std::to_string(number);
    std::vector<std::string> seeds = first;
    for (int index = 0; index < members; ++index) {
      const std::string address = cluster.add(name, seeds);
      seeds = {address};
      if (index == 0) {
        first = {address};
      }
    }
  }
  std::vector<std::string> addresses;
  for (const auto& [address, node] : cluster.nodes()) {
    addresses.push_back(address);
  }
  return addresses;
}

void print(const char* what, int data_centres, int members, const cost& measured) {
  std::printf("%-8s dcs %2d x %3d: sent B/s %7.0f datagrams/s %5.2f core%% %6.4f "
              "platform reads/s %5.2f writes/s %5.2f\n",
              what, data_centres, members, measured.bytes, measured.datagrams, measured.processor,
              measured.reads, measured.writes);
  std::fflush(stdout);
}

} // namespace

TEST_CASE("cost of idle nodes and of one restart per second", "[.][slopes]") {
  const std::vector<std::pair<int, int>> sizes = {{1, 10}, {1, 20}, {1, 40}, {1, 80}, {1, 364},
                                                  {2, 40}, {4, 20}, {8, 10}, {33, 10}};
  for (const auto& [data_centres, members] : sizes) {
    simulated_cluster cluster(41);
    cluster.platform.publish("objects");
    const auto addresses = fill(cluster, data_centres, members);
    cluster.run(seconds(60));
    CHECK(cluster.views_agree());
    print("idle", data_centres, members, measure(cluster, [](int) {}));
    const auto restart = [&](int second) {
      const std::string& address =
          addresses[static_cast<std::size_t>(second) * 7 % addresses.size()];
      cluster.kill(address);
      cluster.start(address);
      cluster.deliver(address, services_configured{{{"stock", {"stock"}}}});
      cluster.deliver(address, backend_announced{"stock", 100, 750, ""});
    };
    print("restart", data_centres, members, measure(cluster, restart));
  }
}

TEST_CASE("memory and time of a node that holds 12,000 records", "[.][slopes]") {
  support::random_source random(1);
  node_settings settings;
  settings.data_centre = "dc0";
  settings.gossip_address = "10.0.0.1:7000";
  settings.call_address = "10.0.0.1:7001";
  const auto used_before = mallinfo2().uordblks;
  const auto node = make_node(settings);
  std::vector<action> actions;
  support::time_point now{seconds(100)};
  step(*node, node_started{}, now, random, actions);
  // Worst case: this data centre calls every service.
  service_calls calls{"", {}};
  for (int number = 0; number < 740; ++number) {
    calls.calls.push_back("service-" + std::to_string(number));
  }
  step(*node, services_configured{{calls}}, now, random, actions);
  for (int index = 0; index < 12000; ++index) {
    member fields;
    fields.gossip_address =
        "10.1." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7000";
    fields.call_address = fields.gossip_address;
    fields.name = "instance-" + std::to_string(index);
    fields.data_centre = "dc" + std::to_string(index % 33);
    fields.service = "service-" + std::to_string(index % 740);
    fields.incarnation = 1;
    datagram message;
    message.updates = {fields};
    step(*node, peer_received{"10.1.0.0:7000", message}, now, random, actions);
    actions.clear();
  }
  const auto status = describe_node(*node);
  const auto used = mallinfo2().uordblks - used_before;
  const std::clock_t begin = std::clock();
  constexpr int ticks = 600;
  for (int tick = 0; tick < ticks; ++tick) {
    now += milliseconds(100);
    step(*node, timer_fired{}, now, random, actions);
    actions.clear();
  }
  const double seconds_used = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
  std::printf(
      "12000 records: held %u, allocated %.1f MB, estimated %.1f MB, core%% of ticks %.3f\n",
      status.local_members + status.remote_members, static_cast<double>(used) / 1e6,
      static_cast<double>(status.record_bytes) / 1e6, 100.0 * seconds_used / 60.0);
}

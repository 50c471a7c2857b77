#ifndef ACACIASILL_CONTROL_MESSAGE_BAG_H
#define ACACIASILL_CONTROL_MESSAGE_BAG_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include "acaciasill/control/node.h"

// A few nodes, the datagrams between them and a fake of the platform, in virtual time, for
// acaciasill-replay and for tests. It holds no model of load or of networks; its user says what is
// dropped, doubled or paused.
namespace acaciasill::control {

// A table and an object store in memory.
struct fake_platform {
  std::map<std::string, table_row> rows;
  std::map<std::string, std::string> objects;
  bool away = false;
  // Writes take effect, but every answer is lost.
  bool loses_answers = false;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t object_reads = 0;

  platform_answer answer(const platform_request& request);
  // Publishes the object as the next generation, as an operator's tool would.
  std::uint64_t publish(const std::string& bytes);
};

// One node and what its driver has seen of it.
struct bag_node {
  node_settings settings;
  node_state_ptr state;
  bool up = false;
  bool paused = false;
  support::time_point timer;
  cluster_view view;
  publish_configuration configuration;
  std::vector<std::uint64_t> generations;
  bool exited = false;
  std::uint64_t bytes_sent = 0;
  std::uint64_t datagrams_sent = 0;
  std::uint64_t largest_datagram = 0;
  std::vector<event> waiting;
};

class message_bag {
public:
  explicit message_bag(std::uint64_t seed) : random_(seed) {}

  fake_platform platform;
  // Whether a datagram from the first address to the second is dropped; none where empty.
  std::function<bool(const std::string&, const std::string&)> drops;
  double loss = 0.0;
  double doubling = 0.0;
  support::milliseconds delay{1};
  // Whether actions are carried out; otherwise events come from the user alone.
  bool carries = true;
  // Sees every action before it is carried out.
  std::function<void(const std::string& from, const action& next)> observe;

  // Adds a node that starts now; returns its gossip address.
  std::string add(node_settings settings);
  // Adds a node of a data centre with usual settings, whose first seeds are those given.
  std::string add(const std::string& data_centre, const std::vector<std::string>& seeds = {});
  void start(const std::string& address);
  void kill(const std::string& address);
  void pause(const std::string& address);
  void resume(const std::string& address);
  // Gives one event at this moment.
  void give(const std::string& address, const event& input);
  // Lets virtual time pass.
  void run(support::milliseconds span);
  // Runs until the condition holds; returns the time that it took, or nothing at the limit.
  std::optional<support::milliseconds> run_until(const std::function<bool()>& holds,
                                                 support::milliseconds limit);

  bag_node& at(const std::string& address) { return nodes_.at(address); }
  std::map<std::string, bag_node>& nodes() { return nodes_; }
  // The start of virtual time.
  static constexpr support::time_point epoch{support::seconds(1000)};
  support::time_point now() const { return now_; }
  // Whether every running node's view holds each running node with a backend server, and no other.
  bool views_agree();
  // Whether every running node has the generation in force.
  bool all_have(std::uint64_t generation);

private:
  struct delivery {
    support::time_point at;
    std::uint64_t order = 0;
    std::string to;
    event input;
    bool operator>(const delivery& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void take(const std::string& address, std::vector<action>& actions);
  void send(const std::string& from, const send_datagram& sent);
  void ask(const std::string& from, const platform_request& request);
  void later(support::duration span, const std::string& to, event input);
  bool advance(support::time_point end);

  support::random_source random_;
  support::time_point now_ = epoch;
  std::uint64_t order_ = 0;
  std::map<std::string, bag_node> nodes_;
  std::priority_queue<delivery, std::vector<delivery>, std::greater<>> deliveries_;
};

} // namespace acaciasill::control

#endif

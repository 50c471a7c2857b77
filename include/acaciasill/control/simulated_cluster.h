#ifndef ACACIASILL_CONTROL_SIMULATED_CLUSTER_H
#define ACACIASILL_CONTROL_SIMULATED_CLUSTER_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include "acaciasill/control/node.h"

// Deterministic simulation of a small cluster in virtual time, with a simulated network and an
// in-memory platform. Used by acaciasill-replay and by tests. It models neither load nor network
// topology; the caller decides which datagrams are dropped or duplicated and which nodes are
// paused.
namespace acaciasill::control {

// In-memory table and object store.
struct fake_platform {
  std::map<std::string, table_row> rows;
  std::map<std::string, std::string> objects;
  bool unavailable = false;
  // Applies writes but reports every outcome as unknown, as if each answer were lost.
  bool drops_answers = false;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t object_reads = 0;

  platform_answer answer(const platform_request& request);
  // Publishes the object as the next configuration generation.
  std::uint64_t publish(const std::string& bytes);
};

// A simulated node with its latest outputs and traffic counters.
struct simulated_node {
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

class simulated_cluster {
public:
  explicit simulated_cluster(std::uint64_t seed) : random_(seed) {}

  fake_platform platform;
  // Returns whether a datagram from the first address to the second is dropped. Nothing is dropped
  // if empty.
  std::function<bool(const std::string&, const std::string&)> drops;
  double loss = 0.0;
  double duplication = 0.0;
  support::milliseconds delay{1};
  // Whether actions are carried out. If false, nodes receive only the events passed to give().
  bool executes_actions = true;
  // Called with every action before it is carried out.
  std::function<void(const std::string& from, const action& next)> observe;

  // Adds and starts a node. Returns its gossip address.
  std::string add(node_settings settings);
  // Adds a node with default settings that runs the service "stock". The seeds are its initial
  // gossip addresses.
  std::string add(const std::string& data_centre, const std::vector<std::string>& seeds = {});
  void start(const std::string& address);
  void kill(const std::string& address);
  void pause(const std::string& address);
  void resume(const std::string& address);
  // Delivers an event at the current virtual time, or queues it if the node is paused.
  void deliver(const std::string& address, const event& input);
  // Advances virtual time and delivers the events due in that span.
  void run(support::milliseconds span);
  // Runs until the condition holds. Returns the virtual time taken, or nullopt if the limit is
  // exceeded.
  std::optional<support::milliseconds> run_until(const std::function<bool()>& holds,
                                                 support::milliseconds limit);

  simulated_node& at(const std::string& address) { return nodes_.at(address); }
  std::map<std::string, simulated_node>& nodes() { return nodes_; }
  // Start of virtual time.
  static constexpr support::time_point epoch{support::seconds(1000)};
  support::time_point now() const { return now_; }
  // Whether every running node's view contains exactly the running nodes that have a backend
  // server. Suspected members count as absent.
  bool views_agree();
  // Whether the generation is in force on every running node.
  bool all_have_generation(std::uint64_t generation);

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
  void handle_platform_request(const std::string& from, const platform_request& request);
  void later(support::duration span, const std::string& to, event input);
  bool advance(support::time_point end);

  support::random_source random_;
  support::time_point now_ = epoch;
  std::uint64_t order_ = 0;
  std::map<std::string, simulated_node> nodes_;
  std::priority_queue<delivery, std::vector<delivery>, std::greater<>> deliveries_;
};

} // namespace acaciasill::control

#endif

#include "acaciasill/control/simulated_cluster.h"

#include <algorithm>
#include <set>
#include <utility>

#include "acaciasill/control/configuration_head.h"
#include "acaciasill/support/hash.h"

namespace acaciasill::control {
namespace {

// IPv4 and UDP header bytes per datagram.
constexpr std::uint64_t header_bytes = 28;

platform_answer write_all(fake_platform& platform, const write_rows& write) {
  ++platform.writes;
  for (const auto& row : write.rows) {
    const auto found = platform.rows.find(row.key);
    const std::uint64_t version = found == platform.rows.end() ? 0 : found->second.version;
    if (version != row.version) {
      return {0, platform_end::refused, {}, {}};
    }
  }
  for (const auto& row : write.rows) {
    platform.rows[row.key] = {row.key, row.value, row.version + 1};
  }
  return {0, platform_end::done, {}, {}};
}

platform_answer answer_operation(fake_platform& platform, const platform_operation& operation) {
  if (const auto* write = std::get_if<write_rows>(&operation)) {
    return write_all(platform, *write);
  }
  ++platform.reads;
  platform_answer answer{0, platform_end::done, {}, {}};
  if (const auto* read = std::get_if<read_row>(&operation)) {
    if (const auto found = platform.rows.find(read->key); found != platform.rows.end()) {
      answer.rows.push_back(found->second);
    }
  }
  if (const auto* list = std::get_if<list_rows>(&operation)) {
    for (const auto& [key, row] : platform.rows) {
      if (key.starts_with(list->prefix)) {
        answer.rows.push_back(row);
      }
    }
  }
  if (const auto* read = std::get_if<read_object>(&operation)) {
    ++platform.object_reads;
    const auto found = platform.objects.find(read->digest);
    if (found == platform.objects.end()) {
      answer.end = platform_end::refused;
      return answer;
    }
    answer.bytes = found->second;
  }
  return answer;
}

} // namespace

platform_answer fake_platform::answer(const platform_request& request) {
  platform_answer answer{request.ticket, platform_end::failed_before, {}, {}};
  if (unavailable) {
    return answer;
  }
  answer = answer_operation(*this, request.operation);
  answer.ticket = request.ticket;
  if (drops_answers) {
    answer = {request.ticket, platform_end::unknown, {}, {}};
  }
  return answer;
}

std::uint64_t fake_platform::publish(const std::string& bytes) {
  const std::string digest = support::sha256_hex(bytes);
  objects[digest] = bytes;
  table_row& row = rows[std::string(configuration_head_key)];
  row.key = configuration_head_key;
  ++row.version;
  row.value = encode_configuration_head({row.version, digest, "token", "revision", ""});
  return row.version;
}

std::string simulated_cluster::add(node_settings settings) {
  std::string address = settings.gossip_address;
  nodes_[address].settings = std::move(settings);
  start(address);
  return address;
}

std::string simulated_cluster::add(const std::string& data_centre,
                                   const std::vector<std::string>& seeds) {
  const std::string number = std::to_string(nodes_.size() + 1);
  node_settings settings;
  settings.name = "instance-" + number;
  settings.data_centre = data_centre;
  settings.region = "region";
  settings.gossip_address = "127.0.0.1:" + std::to_string(20000 + nodes_.size());
  settings.call_address = "127.0.0.1:" + std::to_string(40000 + nodes_.size());
  settings.seeds = seeds;
  std::string address = add(std::move(settings));
  deliver(address, services_configured{{{"stock", {"stock"}}}});
  deliver(address, backend_announced{"stock", 100, 750, "127.0.0.1:9000"});
  return address;
}

void simulated_cluster::start(const std::string& address) {
  simulated_node& node = nodes_.at(address);
  node.state = make_node(node.settings);
  node.up = true;
  node.paused = false;
  node.exited = false;
  node.generations.clear();
  node.configuration = {};
  node.view = {};
  deliver(address, node_started{});
}

void simulated_cluster::kill(const std::string& address) {
  nodes_.at(address).up = false;
}

void simulated_cluster::pause(const std::string& address) {
  nodes_.at(address).paused = true;
}

void simulated_cluster::resume(const std::string& address) {
  simulated_node& node = nodes_.at(address);
  node.paused = false;
  const auto waiting = std::exchange(node.waiting, {});
  for (const auto& input : waiting) {
    deliver(address, input);
  }
}

void simulated_cluster::deliver(const std::string& address, const event& input) {
  simulated_node& node = nodes_.at(address);
  if (!node.up) {
    return;
  }
  if (node.paused) {
    node.waiting.push_back(input);
    return;
  }
  std::vector<action> actions;
  step(*node.state, input, now_, random_, actions);
  take(address, actions);
}

void simulated_cluster::take(const std::string& address, std::vector<action>& actions) {
  simulated_node& node = nodes_.at(address);
  for (const auto& next : actions) {
    if (observe) {
      observe(address, next);
    }
    if (!executes_actions) {
      continue;
    }
    if (const auto* sent = std::get_if<send_datagram>(&next)) {
      send(address, *sent);
    }
    if (const auto* request = std::get_if<platform_request>(&next)) {
      handle_platform_request(address, *request);
    }
    if (const auto* timer = std::get_if<set_timer>(&next)) {
      node.timer = timer->at;
      later(timer->at - now_, address, timer_fired{});
    }
    if (const auto* published = std::get_if<publish_view>(&next)) {
      node.view = published->view;
    }
    if (const auto* published = std::get_if<publish_configuration>(&next)) {
      node.configuration = *published;
      node.generations.push_back(published->generation);
    }
    if (std::holds_alternative<ready_to_exit>(next)) {
      node.exited = true;
      node.up = false;
    }
  }
}

void simulated_cluster::send(const std::string& from, const send_datagram& sent) {
  simulated_node& node = nodes_.at(from);
  const std::uint64_t size = encoded_bound(sent.message);
  node.largest_datagram = std::max(node.largest_datagram, size);
  node.bytes_sent += size + header_bytes;
  ++node.datagrams_sent;
  const bool dropped = drops && drops(from, sent.to);
  if (dropped || !nodes_.contains(sent.to) || support::uniform_unit(random_) < loss) {
    return;
  }
  later(delay, sent.to, peer_received{from, sent.message});
  if (support::uniform_unit(random_) < duplication) {
    later(delay * 40, sent.to, peer_received{from, sent.message});
  }
}

void simulated_cluster::handle_platform_request(const std::string& from,
                                                const platform_request& request) {
  const platform_answer answer = platform.answer(request);
  const bool late = answer.end != platform_end::done && answer.end != platform_end::refused;
  later(late ? request.timeout : support::milliseconds(5), from, answer);
}

void simulated_cluster::later(support::duration span, const std::string& to, event input) {
  deliveries_.push({now_ + span, ++order_, to, std::move(input)});
}

bool simulated_cluster::advance(support::time_point end) {
  if (deliveries_.empty() || deliveries_.top().at > end) {
    now_ = end;
    return false;
  }
  const delivery next = deliveries_.top();
  deliveries_.pop();
  now_ = std::max(now_, next.at);
  const bool stale_timer =
      std::holds_alternative<timer_fired>(next.input) && nodes_.at(next.to).timer != next.at;
  if (!stale_timer) {
    deliver(next.to, next.input);
  }
  return true;
}

void simulated_cluster::run(support::milliseconds span) {
  const support::time_point end = now_ + span;
  while (advance(end)) {
  }
}

std::optional<support::milliseconds>
simulated_cluster::run_until(const std::function<bool()>& holds, support::milliseconds limit) {
  constexpr support::milliseconds stride{50};
  for (support::milliseconds passed{0}; passed <= limit; passed += stride) {
    if (holds()) {
      return passed;
    }
    run(stride);
  }
  return std::nullopt;
}

bool simulated_cluster::views_agree() {
  std::set<std::string> expected;
  for (const auto& [address, node] : nodes_) {
    if (node.up && !describe_node(*node.state).self.service.empty()) {
      expected.insert(node.settings.call_address);
    }
  }
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& entry) {
    if (!entry.second.up) {
      return true;
    }
    std::set<std::string> seen;
    for (const auto& known : entry.second.view.members) {
      if (!known.suspect) {
        seen.insert(known.call_address);
      }
    }
    return seen == expected;
  });
}

bool simulated_cluster::all_have_generation(std::uint64_t generation) {
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& entry) {
    return !entry.second.up || entry.second.configuration.generation == generation;
  });
}

} // namespace acaciasill::control

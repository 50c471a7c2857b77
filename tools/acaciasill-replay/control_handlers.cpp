#include "control_handlers.h"

#include <set>

#include <nlohmann/json.hpp>

#include "acaciasill/support/result_code.h"
#include "json_values.h"

namespace acaciasill::replay {
namespace {

using nlohmann::json;

absl::Status unknown_key_error(const std::string& detail) {
  return support::make_error(support::result_code::unknown_key, detail);
}

// Handles lines with "node": settings of a new node, or an event at an existing one.
class node_handler : public line_handler {
public:
  const char* key() const override { return "node"; }

  absl::Status apply(const json& line, session_context& context) override {
    const auto name = line.at("node").get<std::string>();
    if (line.contains("settings")) {
      control::node_settings settings = read_settings(line.at("settings"));
      settings.name = name;
      addresses_[name] = context.cluster.add(std::move(settings));
      return absl::OkStatus();
    }
    const auto found = addresses_.find(name);
    if (found == addresses_.end()) {
      return unknown_key_error("unknown node " + name);
    }
    return apply_event(line, found->second, context.cluster);
  }

private:
  absl::Status apply_event(const json& line, const std::string& address,
                           control::simulated_cluster& cluster) {
    const auto name = line.at("event").get<std::string>();
    if (name == "kill") {
      cluster.kill(address);
      return absl::OkStatus();
    }
    if (name == "restart") {
      cluster.start(address);
      return absl::OkStatus();
    }
    if (name == "pause") {
      cluster.pause(address);
      return absl::OkStatus();
    }
    if (name == "continue") {
      cluster.resume(address);
      return absl::OkStatus();
    }
    const auto input = read_event(name, line);
    if (!input) {
      return unknown_key_error("unknown event " + name);
    }
    cluster.deliver(address, *input);
    return absl::OkStatus();
  }

  std::map<std::string, std::string> addresses_;
};

// Handles lines with "platform": outages, lost answers and writes to the table and object store.
class platform_handler : public line_handler {
public:
  const char* key() const override { return "platform"; }

  absl::Status apply(const json& line, session_context& context) override {
    control::fake_platform& platform = context.cluster.platform;
    const auto operation = line.at("platform").get<std::string>();
    if (operation == "away" || operation == "back") {
      platform.unavailable = operation == "away";
      return absl::OkStatus();
    }
    if (operation == "loses_answers" || operation == "answers") {
      platform.drops_answers = operation == "loses_answers";
      return absl::OkStatus();
    }
    if (operation == "publish") {
      platform.publish(line.at("object").get<std::string>());
      return absl::OkStatus();
    }
    if (operation == "write") {
      const auto key = line.at("key").get<std::string>();
      auto& row = platform.rows[key];
      row = {key, line.at("value").get<std::string>(), row.version + 1};
      return absl::OkStatus();
    }
    return unknown_key_error("unknown platform operation " + operation);
  }
};

// Handles lines with "network": a partition, datagram loss, or the end of both.
class network_handler : public line_handler {
public:
  const char* key() const override { return "network"; }

  absl::Status apply(const json& line, session_context& context) override {
    const auto operation = line.at("network").get<std::string>();
    if (operation == "heal") {
      context.cluster.drops = nullptr;
      context.cluster.loss = 0.0;
      return absl::OkStatus();
    }
    if (operation == "loss") {
      context.cluster.loss = line.at("part").get<double>();
      return absl::OkStatus();
    }
    if (operation != "cut") {
      return unknown_key_error("unknown network operation " + operation);
    }
    const auto group = line.at("gossip").get<std::set<std::string>>();
    context.cluster.drops = [group](const std::string& from, const std::string& to) {
      return group.contains(from) != group.contains(to);
    };
    return absl::OkStatus();
  }
};

} // namespace

std::vector<std::unique_ptr<line_handler>> make_control_handlers() {
  std::vector<std::unique_ptr<line_handler>> handlers;
  handlers.push_back(std::make_unique<node_handler>());
  handlers.push_back(std::make_unique<platform_handler>());
  handlers.push_back(std::make_unique<network_handler>());
  return handlers;
}

} // namespace acaciasill::replay

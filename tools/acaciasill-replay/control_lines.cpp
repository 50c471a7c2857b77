#include "control_lines.h"

#include <set>

#include <nlohmann/json.hpp>

#include "acaciasill/support/result_code.h"
#include "json_values.h"

namespace acaciasill::replay {
namespace {

using nlohmann::json;

absl::Status unknown(const std::string& what) {
  return support::make_error(support::result_code::unknown_key, what);
}

// Lines with "node": settings of a new node, or an event of a known one.
class node_lines : public line_reader {
public:
  const char* key() const override { return "node"; }

  absl::Status apply(const json& line, session_context& context) override {
    const auto name = line.at("node").get<std::string>();
    if (line.contains("settings")) {
      control::node_settings settings = read_settings(line.at("settings"));
      settings.name = name;
      addresses_[name] = context.bag.add(std::move(settings));
      return absl::OkStatus();
    }
    const auto found = addresses_.find(name);
    if (found == addresses_.end()) {
      return unknown("no node has the name " + name);
    }
    return apply_event(line, found->second, context.bag);
  }

private:
  absl::Status apply_event(const json& line, const std::string& address,
                           control::message_bag& bag) {
    const auto name = line.at("event").get<std::string>();
    if (name == "kill") {
      bag.kill(address);
      return absl::OkStatus();
    }
    if (name == "restart") {
      bag.start(address);
      return absl::OkStatus();
    }
    if (name == "pause") {
      bag.pause(address);
      return absl::OkStatus();
    }
    if (name == "continue") {
      bag.resume(address);
      return absl::OkStatus();
    }
    const auto input = read_event(name, line);
    if (!input) {
      return unknown("no event has the name " + name);
    }
    bag.give(address, *input);
    return absl::OkStatus();
  }

  std::map<std::string, std::string> addresses_;
};

// Lines with "platform": what becomes of the table and the objects.
class platform_lines : public line_reader {
public:
  const char* key() const override { return "platform"; }

  absl::Status apply(const json& line, session_context& context) override {
    control::fake_platform& platform = context.bag.platform;
    const auto what = line.at("platform").get<std::string>();
    if (what == "away" || what == "back") {
      platform.away = what == "away";
      return absl::OkStatus();
    }
    if (what == "loses_answers" || what == "answers") {
      platform.loses_answers = what == "loses_answers";
      return absl::OkStatus();
    }
    if (what == "publish") {
      platform.publish(line.at("object").get<std::string>());
      return absl::OkStatus();
    }
    if (what == "write") {
      const auto key = line.at("key").get<std::string>();
      auto& row = platform.rows[key];
      row = {key, line.at("value").get<std::string>(), row.version + 1};
      return absl::OkStatus();
    }
    return unknown("the platform does nothing like " + what);
  }
};

// Lines with "network": a group that is cut off from the others, or the heal.
class network_lines : public line_reader {
public:
  const char* key() const override { return "network"; }

  absl::Status apply(const json& line, session_context& context) override {
    const auto what = line.at("network").get<std::string>();
    if (what == "heal") {
      context.bag.drops = nullptr;
      context.bag.loss = 0.0;
      return absl::OkStatus();
    }
    if (what == "loss") {
      context.bag.loss = line.at("part").get<double>();
      return absl::OkStatus();
    }
    if (what != "cut") {
      return unknown("the network does nothing like " + what);
    }
    const auto group = line.at("gossip").get<std::set<std::string>>();
    context.bag.drops = [group](const std::string& from, const std::string& to) {
      return group.contains(from) != group.contains(to);
    };
    return absl::OkStatus();
  }
};

} // namespace

std::vector<std::unique_ptr<line_reader>> make_control_lines() {
  std::vector<std::unique_ptr<line_reader>> readers;
  readers.push_back(std::make_unique<node_lines>());
  readers.push_back(std::make_unique<platform_lines>());
  readers.push_back(std::make_unique<network_lines>());
  return readers;
}

} // namespace acaciasill::replay

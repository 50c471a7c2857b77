#include "session.h"

#include <istream>
#include <ostream>
#include <vector>

#include <nlohmann/json.hpp>

#include "acaciasill/support/result_code.h"
#include "control_handlers.h"
#include "json_values.h"
#include "request_path_handler.h"

namespace acaciasill::replay {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

absl::Status line_error(std::size_t number, std::string_view detail) {
  return support::make_error(support::result_code::bad_request,
                             "line " + std::to_string(number) + ": " + std::string(detail));
}

// Session-wide options from the first line.
struct session_header {
  std::uint64_t seed = 1;
  bool carry = true;
};

class replayer {
public:
  replayer(std::ostream& output, const replay_options& options, const session_header& header)
      : output_(output), options_(options), random_(header.seed), cluster_(header.seed) {
    cluster_.executes_actions = header.carry;
    cluster_.observe = [this](const std::string& from, const control::action& next) {
      print(from, next);
    };
    handlers_ = make_control_handlers();
    handlers_.push_back(make_request_handler());
  }

  absl::Status apply(const json& line) {
    const long long at_ms = line.value("at_ms", last_ms_);
    if (at_ms < last_ms_) {
      return support::make_error(support::result_code::out_of_range,
                                 "at_ms is lower than on an earlier line");
    }
    cluster_.run(support::milliseconds(at_ms - last_ms_));
    last_ms_ = at_ms;
    for (const auto& handler : handlers_) {
      if (line.contains(handler->key())) {
        session_context context{cluster_, random_, output_, at_ms};
        return handler->apply(line, context);
      }
    }
    if (line.contains("end")) {
      return absl::OkStatus();
    }
    return support::make_error(
        support::result_code::unknown_key,
        "line has none of the keys node, platform, network, request_path, end");
  }

private:
  void print(const std::string& from, const control::action& next) {
    const formatted_action formatted = format_action(next);
    if (formatted.verbose_only && !options_.all) {
      return;
    }
    const auto at = support::whole_milliseconds(cluster_.now() - control::simulated_cluster::epoch);
    ordered_json line = {{"at_ms", at}, {"node", cluster_.at(from).settings.name}};
    line.update(formatted.value);
    output_ << line.dump() << '\n';
  }

  std::ostream& output_;
  replay_options options_;
  support::random_source random_;
  control::simulated_cluster cluster_;
  std::vector<std::unique_ptr<line_handler>> handlers_;
  long long last_ms_ = 0;
};

} // namespace

absl::Status replay_session(std::istream& input, std::ostream& output,
                            const replay_options& options) {
  std::unique_ptr<replayer> session;
  std::string text;
  for (std::size_t number = 1; std::getline(input, text); ++number) {
    if (text.empty() || text.front() == '#') {
      continue;
    }
    try {
      const json line = json::parse(text);
      if (!session) {
        const json header = line.value("session", json::object());
        session = std::make_unique<replayer>(
            output, options,
            session_header{header.value("seed", std::uint64_t{1}), header.value("carry", true)});
      }
      if (line.contains("session")) {
        continue;
      }
      if (const auto status = session->apply(line); !status.ok()) {
        return line_error(number, std::string(status.message()));
      }
    } catch (const json::exception& failure) {
      return line_error(number, failure.what());
    }
  }
  return absl::OkStatus();
}

} // namespace acaciasill::replay

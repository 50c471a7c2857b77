#include "session.h"

#include <istream>
#include <ostream>
#include <vector>

#include <nlohmann/json.hpp>

#include "acaciasill/support/result_code.h"
#include "control_lines.h"
#include "json_values.h"
#include "request_lines.h"

namespace acaciasill::replay {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

absl::Status bad_line(std::size_t number, std::string_view detail) {
  return support::make_error(support::result_code::bad_request,
                             "line " + std::to_string(number) + ": " + std::string(detail));
}

// What the first line of a session says of the whole.
struct session_header {
  std::uint64_t seed = 1;
  bool carry = true;
};

class replayer {
public:
  replayer(std::ostream& output, const replay_options& options, const session_header& header)
      : output_(output), options_(options), random_(header.seed), bag_(header.seed) {
    bag_.carries = header.carry;
    bag_.observe = [this](const std::string& from, const control::action& next) {
      print(from, next);
    };
    readers_ = make_control_lines();
    readers_.push_back(make_request_lines());
  }

  absl::Status apply(const json& line) {
    const long long at_ms = line.value("at_ms", last_ms_);
    if (at_ms < last_ms_) {
      return support::make_error(support::result_code::out_of_range, "times go back");
    }
    bag_.run(support::milliseconds(at_ms - last_ms_));
    last_ms_ = at_ms;
    for (const auto& reader : readers_) {
      if (line.contains(reader->key())) {
        session_context context{bag_, random_, output_, at_ms};
        return reader->apply(line, context);
      }
    }
    if (line.contains("end")) {
      return absl::OkStatus();
    }
    return support::make_error(support::result_code::unknown_key, "the line has no known subject");
  }

private:
  void print(const std::string& from, const control::action& next) {
    const printed_action printed = print_action(next);
    if (printed.detail && !options_.all) {
      return;
    }
    const auto at = support::whole_milliseconds(bag_.now() - control::message_bag::epoch);
    ordered_json line = {{"at_ms", at}, {"node", bag_.at(from).settings.name}};
    line.update(printed.value);
    output_ << line.dump() << '\n';
  }

  std::ostream& output_;
  replay_options options_;
  support::random_source random_;
  control::message_bag bag_;
  std::vector<std::unique_ptr<line_reader>> readers_;
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
        return bad_line(number, std::string(status.message()));
      }
    } catch (const json::exception& failure) {
      return bad_line(number, failure.what());
    }
  }
  return absl::OkStatus();
}

} // namespace acaciasill::replay

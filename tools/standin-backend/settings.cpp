#include "settings.h"

#include "absl/strings/numbers.h"

namespace acaciasill::standin {
namespace {

using support::milliseconds;

constexpr std::uint32_t max_slots = 1000000;
constexpr std::uint32_t max_body_bytes = 1U << 20U;
constexpr double max_service_time_ms = 60000.0;
constexpr double max_factor = 1000.0;
constexpr milliseconds max_span{600000};

// Reads a key whose value has to be one of the names; names are in the order of the enum values.
template <typename Enum>
void read_choice(model::settings_reader& reader, std::string_view key, Enum& field,
                 const std::vector<std::string>& names) {
  std::string text = names[static_cast<std::size_t>(field)];
  reader.text(key, text);
  for (std::size_t index = 0; index < names.size(); ++index) {
    if (names[index] == text) {
      field = static_cast<Enum>(index);
      return;
    }
  }
  std::string expected = "expected one of";
  for (const auto& name : names) {
    expected.append(" ").append(name);
  }
  reader.reject(key, support::result_code::out_of_range, expected);
}

child_call read_child(model::settings_reader& reader) {
  child_call child;
  reader.text("service", child.service, model::presence::required);
  reader.text("path", child.path);
  reader.text("method", child.method);
  reader.integer("count", child.count, 1, 1000);
  reader.flag("required", child.required);
  reader.integer("body_bytes", child.body_bytes, 0, max_body_bytes);
  return child;
}

void read_report(model::settings_reader& reader, report_settings& report) {
  read_choice(reader, "mode", report.mode, {"honest", "lagging", "misleading"});
  reader.time_span("lag_ms", report.lag, milliseconds{0}, max_span);
  reader.number("in_flight_factor", report.in_flight_factor, 0.0, max_factor);
  reader.number("slots_factor", report.slots_factor, 0.0, max_factor);
}

void read_work(model::settings_reader& reader, settings& target) {
  reader.integer("slots", target.slots, 1, max_slots);
  reader.integer("connections", target.connections, 1, max_slots);
  reader.number("service_time_ms", target.service_time_ms, 0.0, max_service_time_ms);
  read_choice(reader, "distribution", target.distribution, {"fixed", "exponential"});
  reader.number("connection_cost_ms", target.connection_cost_ms, 0.0, max_service_time_ms);
  reader.time_span("cold_for_ms", target.cold_for, milliseconds{0}, max_span);
  reader.number("cold_factor", target.cold_factor, 1.0, max_factor);
  read_choice(reader, "over_slots", target.on_overload, {"queue", "collapse"});
  reader.integer("queue_bound", target.queue_bound, 0, max_slots);
  reader.integer("answer_bytes", target.answer_bytes, 0, max_body_bytes);
  reader.flag("hold_slot", target.hold_slot);
  reader.number("fail_ratio", target.fail_ratio, 0.0, 1.0);
}

} // namespace

void read_settings(model::settings_reader& reader, settings& target) {
  reader.text("service", target.service, model::presence::required);
  reader.text("listen", target.listen);
  reader.text("daemon", target.daemon);
  reader.integer("threads", target.threads, 1, 64);
  read_work(reader, target);
  reader.sections("calls", [&target](model::settings_reader& child) {
    target.calls.push_back(read_child(child));
  });
  reader.section("report",
                 [&target](model::settings_reader& report) { read_report(report, target.report); });
  reader.flag("track", target.track);
  reader.time_span("leave_grace_ms", target.leave_grace, milliseconds{0}, max_span);
  reader.time_span("drain_timeout_ms", target.drain_timeout, milliseconds{0}, max_span);
  reader.integer("seed", target.seed, 0, INT64_MAX);
  if (endpoint parsed; !parse_endpoint(target.listen, parsed)) {
    reader.reject("listen", support::result_code::wrong_type, "expected ADDRESS:PORT");
  }
}

bool parse_endpoint(const std::string& text, endpoint& target) {
  const auto colon = text.rfind(':');
  std::uint32_t port = 0;
  if (colon == std::string::npos || colon == 0 ||
      !absl::SimpleAtoi(text.substr(colon + 1), &port) || port > UINT16_MAX) {
    return false;
  }
  target = {text.substr(0, colon), static_cast<std::uint16_t>(port)};
  return true;
}

} // namespace acaciasill::standin

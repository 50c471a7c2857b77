#include "acaciasill/net/load_plan.h"

#include <algorithm>

namespace acaciasill::net {
namespace {

using model::presence;
using model::settings_reader;
using support::milliseconds;

constexpr double max_rate = 1e6;
constexpr std::uint32_t max_body_bytes = 1U << 20U;
constexpr milliseconds max_duration{600000};

template <typename Enum>
void read_choice(settings_reader& reader, std::string_view key, Enum& field,
                 const std::vector<std::string>& names) {
  std::string text = names[static_cast<std::size_t>(field)];
  reader.text(key, text);
  const auto match = std::find(names.begin(), names.end(), text);
  if (match == names.end()) {
    reader.reject(key, support::result_code::out_of_range,
                  "the value is not one of the allowed names");
    return;
  }
  field = static_cast<Enum>(match - names.begin());
}

void read_class(settings_reader& reader, load_class& call_class) {
  reader.text("name", call_class.name, presence::required);
  reader.text("service", call_class.service);
  reader.text("path", call_class.path);
  reader.text("method", call_class.method);
  reader.text("organisation", call_class.organisation);
  reader.text("priority", call_class.priority);
  reader.text_list("headers", call_class.headers);
  reader.text_list("targets", call_class.targets);
  reader.number("rate", call_class.rate, 0.0, max_rate);
  reader.integer("clients", call_class.clients, 0, 100000);
  reader.time_span("think_time_ms", call_class.think_time, milliseconds{0}, max_duration);
  reader.time_span("deadline_ms", call_class.deadline, milliseconds{1}, max_duration);
  reader.flag("send_deadline", call_class.send_deadline);
  reader.integer("retries", call_class.retries, 0, 1000000);
  reader.time_span("retry_pause_ms", call_class.retry_pause, milliseconds{0}, max_duration);
  reader.flag("same_id", call_class.same_id);
  reader.flag("idempotency_key", call_class.idempotency_key);
  reader.integer("body_bytes", call_class.body_bytes, 0, max_body_bytes);
}

void read_phase(settings_reader& reader, load_phase& phase) {
  reader.text("name", phase.name, presence::required);
  reader.time_span("length_ms", phase.length, milliseconds{1}, max_duration, presence::required);
  reader.sections("rates", [&phase](settings_reader& row) {
    class_rate rate;
    row.text("class", rate.name, presence::required);
    row.number("rate", rate.rate, 0.0, max_rate, presence::required);
    phase.rates.push_back(rate);
  });
}

void read_fault(settings_reader& reader, load_fault& fault) {
  reader.time_span("at_ms", fault.at, milliseconds{0}, max_duration, presence::required);
  reader.text("post", fault.post);
  reader.text("body", fault.body);
  read_choice(reader, "signal", fault.signal, {"none", "stop", "resume", "kill", "terminate"});
  reader.integer("pid", fault.pid, 0, INT32_MAX);
  const bool is_signal = fault.signal != fault_signal::none;
  if (is_signal == !fault.post.empty() || is_signal != (fault.pid > 0)) {
    reader.reject("at_ms", support::result_code::missing_key,
                  "expected either 'post', or 'signal' with 'pid'");
  }
}

void check_references(settings_reader& reader, const load_plan& plan) {
  for (const auto& phase : plan.phases) {
    for (const auto& rate : phase.rates) {
      const auto matches = [&rate](const load_class& call_class) {
        return call_class.name == rate.name;
      };
      if (std::none_of(plan.classes.begin(), plan.classes.end(), matches)) {
        reader.reject("phases", support::result_code::out_of_range,
                      "no class is named " + rate.name);
      }
    }
  }
  if (plan.classes.empty() || plan.phases.empty()) {
    reader.reject("classes", support::result_code::missing_key,
                  "a plan needs at least one class and one phase");
  }
}

} // namespace

void read_load_plan(settings_reader& reader, load_plan& plan) {
  reader.text_list("targets", plan.targets, presence::required);
  reader.integer("threads", plan.threads, 1, 64);
  reader.integer("connections", plan.connections, 1, 20000);
  reader.integer("seed", plan.seed, 0, INT64_MAX);
  read_choice(reader, "spacing", plan.spacing, {"poisson", "uniform"});
  reader.sections("classes",
                  [&plan](settings_reader& row) { read_class(row, plan.classes.emplace_back()); });
  reader.sections("phases",
                  [&plan](settings_reader& row) { read_phase(row, plan.phases.emplace_back()); });
  reader.sections("faults",
                  [&plan](settings_reader& row) { read_fault(row, plan.faults.emplace_back()); });
  reader.section("recovery", [&plan](settings_reader& row) {
    const milliseconds zero{0};
    row.time_span("before_from_ms", plan.recovery.baseline_begin, zero, max_duration,
                  presence::required);
    row.time_span("before_to_ms", plan.recovery.baseline_end, zero, max_duration,
                  presence::required);
    row.time_span("end_ms", plan.recovery.fault_end, zero, max_duration, presence::required);
  });
  reader.text("call_log", plan.call_log);
  check_references(reader, plan);
}

milliseconds total_length(const load_plan& plan) {
  milliseconds total{0};
  for (const auto& phase : plan.phases) {
    total += phase.length;
  }
  return total;
}

} // namespace acaciasill::net

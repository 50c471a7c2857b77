#include "acaciasill/net/load_plan.h"

#include <algorithm>

namespace acaciasill::net {
namespace {

using model::presence;
using model::settings_reader;
using support::milliseconds;

constexpr double max_rate = 1e6;
constexpr std::uint32_t max_body_bytes = 1U << 20U;
constexpr milliseconds max_span{600000};

template <typename Enum>
void read_choice(settings_reader& reader, std::string_view key, Enum& field,
                 const std::vector<std::string>& names) {
  std::string text = names[static_cast<std::size_t>(field)];
  reader.text(key, text);
  const auto place = std::find(names.begin(), names.end(), text);
  if (place == names.end()) {
    reader.reject(key, support::result_code::out_of_range, "the value is not one of those known");
    return;
  }
  field = static_cast<Enum>(place - names.begin());
}

void read_class(settings_reader& reader, load_class& kind) {
  reader.text("name", kind.name, presence::required);
  reader.text("service", kind.service);
  reader.text("path", kind.path);
  reader.text("method", kind.method);
  reader.text("organisation", kind.organisation);
  reader.text("priority", kind.priority);
  reader.text_list("headers", kind.headers);
  reader.text_list("targets", kind.targets);
  reader.number("rate", kind.rate, 0.0, max_rate);
  reader.integer("clients", kind.clients, 0, 100000);
  reader.time_span("think_time_ms", kind.think_time, milliseconds{0}, max_span);
  reader.time_span("deadline_ms", kind.deadline, milliseconds{1}, max_span);
  reader.flag("send_deadline", kind.send_deadline);
  reader.integer("retries", kind.retries, 0, 1000000);
  reader.time_span("retry_pause_ms", kind.retry_pause, milliseconds{0}, max_span);
  reader.flag("same_id", kind.same_id);
  reader.flag("idempotency_key", kind.idempotency_key);
  reader.integer("body_bytes", kind.body_bytes, 0, max_body_bytes);
}

void read_phase(settings_reader& reader, load_phase& phase) {
  reader.text("name", phase.name, presence::required);
  reader.time_span("length_ms", phase.length, milliseconds{1}, max_span, presence::required);
  reader.sections("rates", [&phase](settings_reader& row) {
    class_rate rate;
    row.text("class", rate.name, presence::required);
    row.number("rate", rate.rate, 0.0, max_rate, presence::required);
    phase.rates.push_back(rate);
  });
}

void read_fault(settings_reader& reader, load_fault& fault) {
  reader.time_span("at_ms", fault.at, milliseconds{0}, max_span, presence::required);
  reader.text("post", fault.post);
  reader.text("body", fault.body);
  read_choice(reader, "signal", fault.signal, {"none", "stop", "resume", "kill", "terminate"});
  reader.integer("pid", fault.pid, 0, INT32_MAX);
  const bool is_signal = fault.signal != fault_signal::none;
  if (is_signal == !fault.post.empty() || is_signal != (fault.pid > 0)) {
    reader.reject("at_ms", support::result_code::missing_key,
                  "expected either a post, or a signal with a pid");
  }
}

void check_references(settings_reader& reader, const load_plan& plan) {
  for (const auto& phase : plan.phases) {
    for (const auto& rate : phase.rates) {
      const auto matches = [&rate](const load_class& kind) { return kind.name == rate.name; };
      if (std::none_of(plan.classes.begin(), plan.classes.end(), matches)) {
        reader.reject("phases", support::result_code::out_of_range,
                      "no class has the name " + rate.name);
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
    row.time_span("before_from_ms", plan.recovery.before_from, zero, max_span, presence::required);
    row.time_span("before_to_ms", plan.recovery.before_to, zero, max_span, presence::required);
    row.time_span("end_ms", plan.recovery.end, zero, max_span, presence::required);
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

#ifndef ACACIASILL_NET_LOAD_PLAN_H
#define ACACIASILL_NET_LOAD_PLAN_H

#include <cstdint>
#include <string>
#include <vector>

#include "acaciasill/model/settings_reader.h"
#include "acaciasill/support/time.h"

// Plan of a load test: classes of calls with their rates, the phases of the run, and the faults
// that are injected during it.
namespace acaciasill::net {

// Distribution of the interarrival times of an open loop.
enum class arrival_spacing : std::uint8_t { poisson, uniform };

// One class of calls with its own rate, caller identity and deadline.
struct load_class {
  std::string name;
  // Service name in the path /svc/<service>. Empty sends the path unchanged, for a server without a
  // daemon.
  std::string service;
  std::string path = "/";
  std::string method = "GET";
  std::string organisation;
  std::string priority;
  // Additional header lines, "name: value", of each call.
  std::vector<std::string> headers;
  // Target addresses of the calls; empty means all targets of the plan.
  std::vector<std::string> targets;
  // Arrivals per second of the open loop, summed over all threads.
  double rate = 0.0;
  // Number of closed-loop clients. Each waits for its answer and then for the think time.
  std::uint32_t clients = 0;
  support::milliseconds think_time{0};
  // Time from the scheduled arrival after which an answer is useless and the call is cancelled.
  support::milliseconds deadline{1000};
  // True if the remaining time is sent in x-deadline-ms.
  bool send_deadline = true;
  // Maximum number of retries after attempts that did not complete.
  std::uint32_t retries = 0;
  support::milliseconds retry_pause{0};
  // True if a retry reuses the request id and the idempotency key.
  bool same_id = true;
  // True if each call carries an idempotency key.
  bool idempotency_key = false;
  std::uint32_t body_bytes = 0;

  bool operator==(const load_class&) const = default;
};

// Arrival rate of one class during one phase.
struct class_rate {
  std::string name;
  double rate = 0.0;

  bool operator==(const class_rate&) const = default;
};

// A phase of the run. Classes without an entry in `rates` keep the rate of the class.
struct load_phase {
  std::string name;
  support::milliseconds length{1000};
  std::vector<class_rate> rates;

  bool operator==(const load_phase&) const = default;
};

// Signal that a fault sends to a process.
enum class fault_signal : std::uint8_t { none, stop, resume, kill, terminate };

// A fault injected at a given time of the run: either a POST to a URL or a signal to a process.
struct load_fault {
  support::milliseconds at{0};
  std::string post;
  std::string body;
  fault_signal signal = fault_signal::none;
  std::int64_t pid = 0;

  bool operator==(const load_fault&) const = default;
};

// Time ranges for computing the recovery time, relative to the start of the run. The goodput in
// [baseline_begin, baseline_end) is the reference.
struct recovery_spans {
  support::milliseconds baseline_begin{0};
  support::milliseconds baseline_end{0};
  // Time at which the fault ended.
  support::milliseconds fault_end{0};

  bool operator==(const recovery_spans&) const = default;
};

// A complete run.
struct load_plan {
  // Addresses in the form "127.0.0.1:8080".
  std::vector<std::string> targets;
  std::uint32_t threads = 2;
  // Maximum number of connections that one thread opens to one target.
  std::uint32_t connections = 1000;
  std::uint64_t seed = 1;
  arrival_spacing spacing = arrival_spacing::poisson;
  std::vector<load_class> classes;
  std::vector<load_phase> phases;
  std::vector<load_fault> faults;
  recovery_spans recovery;
  // Path of the file that receives the id, key and outcome of each attempt; empty disables it.
  std::string call_log;

  bool operator==(const load_plan&) const = default;
};

// Reads a plan; errors are recorded in the reader.
void read_load_plan(model::settings_reader& reader, load_plan& plan);

// Total length of all phases.
support::milliseconds total_length(const load_plan& plan);

} // namespace acaciasill::net

#endif

#ifndef ACACIASILL_NET_LOAD_PLAN_H
#define ACACIASILL_NET_LOAD_PLAN_H

#include <cstdint>
#include <string>
#include <vector>

#include "acaciasill/model/settings_reader.h"
#include "acaciasill/support/time.h"

// What the load tool is to do: who calls what at which rate, in which phases, and which faults
// strike when.
namespace acaciasill::net {

// How arrivals of an open loop are spaced.
enum class arrival_spacing : std::uint8_t { poisson, uniform };

// One kind of call with its own rate, caller and patience.
struct load_class {
  std::string name;
  // The service below /svc/; empty sends the path as it is, for a server without a daemon.
  std::string service;
  std::string path = "/";
  std::string method = "GET";
  std::string organisation;
  std::string priority;
  // Whole header lines, "name: value", that go with each call.
  std::vector<std::string> headers;
  // Where the calls go; empty stands for all targets of the plan.
  std::vector<std::string> targets;
  // Arrivals a second of the open loop, in all threads together.
  double rate = 0.0;
  // Callers of the closed loop, each of which waits for its answer and then for the think time.
  std::uint32_t clients = 0;
  support::milliseconds think_time{0};
  // The time from the intended arrival after which an answer is of no use and the caller is gone.
  support::milliseconds deadline{1000};
  // Whether the deadline is sent along in x-deadline-ms.
  bool send_deadline = true;
  // Further attempts after one that did not complete.
  std::uint32_t retries = 0;
  support::milliseconds retry_pause{0};
  // Whether a retry repeats the request id and the idempotency key.
  bool same_id = true;
  // Whether each call brings an idempotency key.
  bool idempotency_key = false;
  std::uint32_t body_bytes = 0;

  bool operator==(const load_class&) const = default;
};

// The rate of one class within one phase.
struct class_rate {
  std::string name;
  double rate = 0.0;

  bool operator==(const class_rate&) const = default;
};

// A span of the run. Classes that are not named keep their own rate.
struct load_phase {
  std::string name;
  support::milliseconds length{1000};
  std::vector<class_rate> rates;

  bool operator==(const load_phase&) const = default;
};

// The signals that a fault may send.
enum class fault_signal : std::uint8_t { none, stop, resume, kill, terminate };

// Something that happens at a moment of the run: a POST to a URL, or a signal to a process.
struct load_fault {
  support::milliseconds at{0};
  std::string post;
  std::string body;
  fault_signal signal = fault_signal::none;
  std::int64_t pid = 0;

  bool operator==(const load_fault&) const = default;
};

// The spans from which the recovery time is worked out, counted from the start of the run.
struct recovery_spans {
  support::milliseconds before_from{0};
  support::milliseconds before_to{0};
  // When the trigger ended.
  support::milliseconds end{0};

  bool operator==(const recovery_spans&) const = default;
};

// A whole run.
struct load_plan {
  // Each "127.0.0.1:8080".
  std::vector<std::string> targets;
  std::uint32_t threads = 2;
  // The most connections that one thread opens to one target.
  std::uint32_t connections = 1000;
  std::uint64_t seed = 1;
  arrival_spacing spacing = arrival_spacing::poisson;
  std::vector<load_class> classes;
  std::vector<load_phase> phases;
  std::vector<load_fault> faults;
  recovery_spans recovery;
  // Where each attempt's id, key and outcome are written; empty for nowhere.
  std::string call_log;

  bool operator==(const load_plan&) const = default;
};

// Reads a plan and records what is wrong with it.
void read_load_plan(model::settings_reader& reader, load_plan& plan);

// The length of all phases.
support::milliseconds total_length(const load_plan& plan);

} // namespace acaciasill::net

#endif

#ifndef STANDIN_BACKEND_SETTINGS_H
#define STANDIN_BACKEND_SETTINGS_H

#include <cstdint>
#include <string>
#include <vector>

#include "acaciasill/model/settings_reader.h"
#include "acaciasill/support/time.h"

namespace acaciasill::standin {

// Distribution of the service time of a call around its mean.
enum class time_distribution : std::uint8_t { fixed, exponential };

// Behaviour towards calls that arrive while all slots are taken.
enum class overload_behaviour : std::uint8_t {
  queue,    // Calls wait in a bounded queue; when it is full they are refused before they start.
  collapse, // Calls start at once, and service times grow with the square of the load.
};

// Accuracy of the load report to the daemon.
enum class report_mode : std::uint8_t { honest, lagging, misleading };

// A group of child calls that the server makes for each incoming call.
struct child_call {
  std::string service;
  std::string path = "/";
  std::string method = "GET";
  // Number of parallel calls in the group.
  std::uint32_t count = 1;
  // Whether the incoming call fails when one of these calls fails.
  bool required = true;
  std::uint32_t body_bytes = 0;

  bool operator==(const child_call&) const = default;
};

// Faults in the load report.
struct report_settings {
  report_mode mode = report_mode::honest;
  support::milliseconds lag{0};
  // Factors by which a misleading report multiplies the calls in flight and the slots.
  double in_flight_factor = 1.0;
  double slots_factor = 1.0;

  bool operator==(const report_settings&) const = default;
};

// Settings of a stand-in backend server.
struct settings {
  std::string service;
  // Listen address ADDRESS:PORT; port 0 selects a free port, which is printed.
  std::string listen = "127.0.0.1:0";
  // Base URL of the local daemon; with an empty URL the server sends no announcements.
  std::string daemon;
  std::uint32_t threads = 2;
  std::uint32_t slots = 20;
  std::uint32_t connections = 750;
  double service_time_ms = 0.0;
  time_distribution distribution = time_distribution::fixed;
  // Time added to the service time of a connection's first call.
  double connection_cost_ms = 0.0;
  support::milliseconds cold_for{0};
  double cold_factor = 1.0;
  overload_behaviour on_overload = overload_behaviour::queue;
  std::uint32_t queue_bound = 0;
  std::uint32_t answer_bytes = 64;
  std::vector<child_call> calls;
  // Whether a call keeps its slot while its child calls are in flight.
  bool hold_slot = true;
  report_settings report;
  double fail_ratio = 0.0;
  // Whether attempts and runs are counted by request id and idempotency key.
  bool track = true;
  support::milliseconds leave_grace{300};
  support::milliseconds drain_timeout{30000};
  std::uint64_t seed = 1;

  bool operator==(const settings&) const = default;
};

// Reads the settings of one mapping; the reader records findings.
void read_settings(model::settings_reader& reader, settings& target);

// Parsed form of ADDRESS:PORT.
struct endpoint {
  std::string address;
  std::uint16_t port = 0;

  bool operator==(const endpoint&) const = default;
};

// Parses ADDRESS:PORT, such as "127.0.0.1:8080"; false for any other form.
bool parse_endpoint(const std::string& text, endpoint& target);

} // namespace acaciasill::standin

#endif

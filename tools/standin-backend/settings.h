#ifndef STANDIN_BACKEND_SETTINGS_H
#define STANDIN_BACKEND_SETTINGS_H

#include <cstdint>
#include <string>
#include <vector>

#include "acaciasill/model/settings_reader.h"
#include "acaciasill/support/time.h"

namespace acaciasill::standin {

// How the time that one call takes is spread about its mean.
enum class time_distribution : std::uint8_t { fixed, exponential };

// What happens to calls beyond the slots.
enum class over_slots : std::uint8_t {
  queue,    // They wait in a bounded queue; beyond it they are refused before they start.
  collapse, // They run at once, and every call takes longer.
};

// How the server reports its load.
enum class report_mode : std::uint8_t { honest, lagging, misleading };

// One group of calls that the server makes for each call of its own.
struct child_call {
  std::string service;
  std::string path = "/";
  std::string method = "GET";
  // Calls made at the same time.
  std::uint32_t count = 1;
  // Whether the whole call fails when one of these does.
  bool required = true;
  std::uint32_t body_bytes = 0;

  bool operator==(const child_call&) const = default;
};

// The load report's faults.
struct report_settings {
  report_mode mode = report_mode::honest;
  support::milliseconds lag{0};
  // What a misleading report multiplies the calls in flight and the slots by.
  double in_flight_factor = 1.0;
  double slots_factor = 1.0;

  bool operator==(const report_settings&) const = default;
};

// The settings of a stand-in backend server.
struct settings {
  std::string service;
  // Address and port; port 0 takes a free one, which is printed.
  std::string listen = "127.0.0.1:0";
  // The base URL of the local daemon; empty for a server that announces itself to nobody.
  std::string daemon;
  std::uint32_t threads = 2;
  std::uint32_t slots = 20;
  std::uint32_t connections = 750;
  double service_time_ms = 0.0;
  time_distribution distribution = time_distribution::fixed;
  // Added to the first call of each connection.
  double connection_cost_ms = 0.0;
  support::milliseconds cold_for{0};
  double cold_factor = 1.0;
  over_slots beyond = over_slots::queue;
  std::uint32_t queue_bound = 0;
  std::uint32_t answer_bytes = 64;
  std::vector<child_call> calls;
  // Whether the slot stays taken while the server's own calls are made.
  bool hold_slot = true;
  report_settings report;
  double fail_ratio = 0.0;
  // Whether runs are counted by request and by idempotency key.
  bool track = true;
  support::milliseconds leave_grace{300};
  support::milliseconds drain_timeout{30000};
  std::uint64_t seed = 1;

  bool operator==(const settings&) const = default;
};

// Reads the settings of one mapping and records what is wrong with it.
void read_settings(model::settings_reader& reader, settings& target);

// An address and port that were given as one text.
struct endpoint {
  std::string address;
  std::uint16_t port = 0;

  bool operator==(const endpoint&) const = default;
};

// Splits "127.0.0.1:8080"; false for any other form.
bool parse_endpoint(const std::string& text, endpoint& target);

} // namespace acaciasill::standin

#endif

#ifndef STANDIN_BACKEND_SERVER_CONTEXT_H
#define STANDIN_BACKEND_SERVER_CONTEXT_H

#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <unordered_set>

#include <asio/io_context.hpp>

#include "acaciasill/support/time.h"
#include "http_client.h"
#include "run_counters.h"
#include "settings.h"
#include "slot_pool.h"

namespace acaciasill::standin {

class call_job;

// Injected faults, which can be changed at run time.
struct fault_state {
  std::atomic<double> slow_factor{1.0};
  std::atomic<double> fail_ratio{0.0};
  std::atomic<bool> refuse{false};
};

// Open calls by connection, so that they can be cancelled when the connection closes. Thread-safe.
class open_calls {
public:
  // Registers a call; true if it is the connection's first.
  bool add(std::uint64_t connection, const std::shared_ptr<call_job>& job);
  void remove(std::uint64_t connection, const call_job* job);

  // Removes the connection and returns its open calls.
  std::vector<std::shared_ptr<call_job>> close(std::uint64_t connection);

private:
  struct connection_calls {
    std::unordered_map<const call_job*, std::weak_ptr<call_job>> jobs;
  };

  std::mutex mutex_;
  std::unordered_map<std::uint64_t, connection_calls> connections_;
};

// State shared by all calls of a server.
struct server_context {
  explicit server_context(const settings& initial_settings);

  settings config;
  asio::io_context io;
  run_counters counters;
  slot_pool slots;
  fault_state faults;
  open_calls calls;
  http_client client;
  support::time_point started = support::monotonic_now();
  // Time of the leave request in nanoseconds of monotonic time; 0 before it.
  std::atomic<std::int64_t> left_at{0};
  // Time from the leave request to the latest arrival of a call after it, in nanoseconds.
  std::atomic<std::int64_t> last_call_after_leave{0};
  std::atomic<std::uint64_t> calls_after_leave{0};
};

// Returns whether the server is within the cold start period after its start.
bool is_cold(const server_context& context);

} // namespace acaciasill::standin

#endif

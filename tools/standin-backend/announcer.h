#ifndef STANDIN_BACKEND_ANNOUNCER_H
#define STANDIN_BACKEND_ANNOUNCER_H

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <asio/steady_timer.hpp>

#include "server_context.h"

namespace acaciasill::standin {

// Announces the server and its load to the daemon every second. The load report is accurate,
// lagging or misleading according to the settings.
class announcer {
public:
  announcer(server_context& context, std::string address);

  // Sends the first announcement and schedules the next ones; does nothing without a daemon.
  void start();

  // Stops announcing and sends the daemon a leave request; calls back when that has ended, also on
  // failure.
  void leave(const std::function<void()>& on_done);

private:
  void on_tick();
  // Logs when the daemon starts or stops accepting announcements.
  void log_status_change(const client_reply& reply);
  std::string announcement() const;
  double reported_in_flight() const;
  client_request post(const std::string& path, std::string body) const;

  server_context& context_;
  std::string address_;
  asio::steady_timer timer_;
  std::atomic<bool> leaving_{false};
  std::atomic<bool> accepted_{false};
  std::uint64_t ticks_ = 0;
  // Calls in flight at one tick; samples are kept for the lag of a lagging report.
  struct sample {
    support::time_point time;
    std::int64_t in_flight = 0;
  };
  std::deque<sample> samples_;
};

} // namespace acaciasill::standin

#endif

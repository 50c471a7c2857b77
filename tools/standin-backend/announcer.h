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

// Announces the server to its daemon each second, with the load report that the settings ask for.
class announcer {
public:
  announcer(server_context& context, std::string address);

  // Announces at once and from then on each second.
  void start();

  // Stops announcing and tells the daemon that the server leaves; then calls back.
  void leave(const std::function<void()>& on_left);

private:
  void tick();
  // Logs when the daemon's answer to the announcements changes.
  void note(const client_reply& reply);
  std::string announcement() const;
  double reported_in_flight() const;
  client_request post(const std::string& path, std::string body) const;

  server_context& context_;
  std::string address_;
  asio::steady_timer timer_;
  std::atomic<bool> leaving_{false};
  std::atomic<bool> known_{false};
  std::uint64_t ticks_ = 0;
  // What was in flight at each tick of the last while, for a report that lags.
  struct sample {
    support::time_point time;
    std::int64_t in_flight = 0;
  };
  std::deque<sample> samples_;
};

} // namespace acaciasill::standin

#endif

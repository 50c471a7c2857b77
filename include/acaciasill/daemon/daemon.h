#ifndef ACACIASILL_DAEMON_DAEMON_H
#define ACACIASILL_DAEMON_DAEMON_H

#include <memory>

#include "absl/status/status.h"

#include "acaciasill/daemon/daemon_settings.h"

// One daemon, put together from its parts.
namespace acaciasill::daemon {

class daemon_process {
public:
  explicit daemon_process(const daemon_settings& settings);
  ~daemon_process();
  daemon_process(const daemon_process&) = delete;
  daemon_process& operator=(const daemon_process&) = delete;

  // Binds the addresses and starts all threads. Errors: port_in_use, those of the settings and of a
  // configuration folder.
  absl::Status start();

  // Serves until SIGTERM or SIGINT has been handled gracefully: the others are told, calls in
  // flight end, and no new one is taken.
  void run();

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace acaciasill::daemon

#endif

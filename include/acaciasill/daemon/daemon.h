#ifndef ACACIASILL_DAEMON_DAEMON_H
#define ACACIASILL_DAEMON_DAEMON_H

#include <memory>

#include "absl/status/status.h"

#include "acaciasill/daemon/daemon_settings.h"

// The daemon process, assembled from the data path, the control plane and the HTTP endpoints.
namespace acaciasill::daemon {

class daemon_process {
public:
  explicit daemon_process(const daemon_settings& settings);
  ~daemon_process();
  daemon_process(const daemon_process&) = delete;
  daemon_process& operator=(const daemon_process&) = delete;

  // Binds the addresses and starts all threads. Errors: port_in_use, invalid addresses, and the
  // errors of loading a configuration folder.
  absl::Status start();

  // Serves until a graceful stop after SIGTERM or SIGINT is complete: the other members are
  // notified, calls in flight finish, and no new calls are accepted.
  void run();

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace acaciasill::daemon

#endif

#ifndef ACACIASILL_LIB_DAEMON_PERMIT_SERVICE_H
#define ACACIASILL_LIB_DAEMON_PERMIT_SERVICE_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "acaciasill/board/rcu_cell.h"
#include "acaciasill/board/views.h"
#include "acaciasill/decide/permits.h"
#include "acaciasill/support/time.h"

// Permits for requests of organisations with a rate limit: asks the coordinators for them, and
// answers other daemons as a coordinator. It has no network and no clock of its own.
namespace acaciasill::daemon {

// Answer to a request for a permit.
struct permit_decision {
  bool is_granted = false;
  // Time until the next permit is expected.
  support::milliseconds wait{0};

  bool operator==(const permit_decision&) const = default;
};

using permit_callback = std::function<void(permit_decision)>;
using grant_callback = std::function<void(const decide::permit_grant&)>;
using optional_grant_callback = std::function<void(const std::optional<decide::permit_grant>&)>;

// What permit_service works on. The pointers are valid as long as the service is.
struct permit_environment {
  // Address at which this daemon accepts calls of other daemons.
  std::string own_address;
  std::size_t threads = 1;
  // Permits that this daemon holds, by the slot of the organisation.
  std::vector<decide::permit_bucket>* buckets = nullptr;
  const board::rcu_cell<decide::coordinator_view>* coordinators = nullptr;
  // Time of the last message from another daemon.
  std::atomic<support::duration::rep>* last_peer_contact = nullptr;
  // Finds an organisation of the configuration in force by the hash of its name.
  std::function<std::optional<board::limited_organisation>(std::uint64_t)> find_organisation;
  // Sends a message to a daemon. The callback is called on the same thread after send has returned,
  // with nullopt if there is no valid answer within the time.
  std::function<void(const std::string& address, const decide::permit_request&,
                     support::milliseconds timeout, optional_grant_callback)>
      send;
  std::function<support::time_point()> now;
};

// All functions are called on the request thread with the index; callbacks are called there, too.
class permit_service {
public:
  explicit permit_service(permit_environment environment);
  ~permit_service();
  permit_service(const permit_service&) = delete;
  permit_service& operator=(const permit_service&) = delete;

  // Obtains a permit for one request. The callback is called once, possibly before acquire returns.
  void acquire(std::size_t thread, const board::limited_organisation& organisation,
               permit_callback done);

  // Returns the permit of a request that has not run.
  void give_back(std::size_t thread, const board::limited_organisation& organisation);

  // Answers a message of another daemon; nullopt if the organisation or the daemons of the data
  // centre are not known here.
  void serve(std::size_t thread, const decide::permit_request& message,
             const optional_grant_callback& done);

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace acaciasill::daemon

#endif

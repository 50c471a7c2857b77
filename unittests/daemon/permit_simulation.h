#ifndef ACACIASILL_UNITTESTS_DAEMON_PERMIT_SIMULATION_H
#define ACACIASILL_UNITTESTS_DAEMON_PERMIT_SIMULATION_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "acaciasill/support/random.h"
#include "daemon/permit_service.h"

// Permit services of many daemons in virtual time, with a network that delays, loses and cuts
// messages, and an oracle that counts what is admitted.
namespace acaciasill::daemon::testing {

struct simulation_settings {
  std::uint32_t data_centres = 3;
  std::uint32_t daemons_per_data_centre = 10;
  support::milliseconds delay_within{1};
  support::milliseconds delay_between{3};
  double lost_messages = 0.0;
  std::uint64_t seed = 1;

  bool operator==(const simulation_settings&) const = default;
};

// Requests of one organisation.
struct demand {
  decide::organisation_limit limit;
  double requests_per_s = 0.0;
  // Daemons at which the requests arrive; all if empty.
  std::vector<std::uint32_t> daemons;
};

class permit_simulation {
public:
  explicit permit_simulation(const simulation_settings& settings);
  ~permit_simulation();

  // Adds an organisation and returns its number.
  std::uint32_t add(const demand& requests);
  demand& requests_of(std::uint32_t organisation) { return demands_[organisation]; }

  void run_for(support::duration time);

  // Cuts daemons off from all that are not cut off together with them; an empty list ends all cuts.
  void cut(const std::vector<std::uint32_t>& daemons);
  // Replaces the process of a daemon by a new one.
  void restart(std::uint32_t daemon);
  // Sets whether the directory lists the daemon, which it does while the daemon's server is ready.
  void list(std::uint32_t changed, bool is_listed);
  // Stops the daemon from handling anything, and lets it go on.
  void pause(std::uint32_t daemon);
  void resume(std::uint32_t daemon);

  std::uint64_t asked(std::uint32_t organisation) const { return asked_[organisation]; }
  std::uint64_t admitted(std::uint32_t organisation) const {
    return admissions_[organisation].size();
  }
  // Largest number admitted in any window of this length.
  std::size_t largest_window(std::uint32_t organisation, support::duration window) const;
  std::uint64_t messages() const { return messages_; }
  std::uint32_t daemon_count() const { return static_cast<std::uint32_t>(daemons_.size()); }

private:
  struct daemon;
  using event = std::function<void()>;

  void at(support::time_point time, event function);
  void start_process(std::uint32_t index);
  void publish_view(std::uint32_t index);
  void send(std::uint32_t from, const std::string& address, const decide::permit_request& message,
            support::milliseconds timeout, optional_grant_callback done);
  bool is_connected(std::uint32_t left, std::uint32_t right) const;
  support::duration delay(std::uint32_t left, std::uint32_t right);
  void arrive(std::uint32_t organisation);
  board::limited_organisation describe(std::uint32_t organisation) const;

  simulation_settings settings_;
  support::random_source random_;
  support::time_point now_{std::chrono::hours(1)};
  std::multimap<support::time_point, event> events_;
  std::vector<std::unique_ptr<daemon>> daemons_;
  std::vector<demand> demands_;
  std::vector<std::uint64_t> asked_;
  std::vector<std::deque<support::time_point>> admissions_;
  std::vector<bool> is_cut_;
  std::uint64_t messages_ = 0;
};

} // namespace acaciasill::daemon::testing

#endif

#ifndef ACACIASILL_UNITTESTS_CONTROL_PUBLICATION_SIMULATION_H
#define ACACIASILL_UNITTESTS_CONTROL_PUBLICATION_SIMULATION_H

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "acaciasill/control/publication.h"

// Simulation of publishers and a platform with injected faults, in virtual time.
namespace acaciasill::control {

// Faults injected into requests.
struct platform_faults {
  bool outage = false;        // For some time, all requests fail without effect.
  bool lost_before = false;   // No effect, and the result is unknown.
  bool lost_after = false;    // Takes effect, and the result is unknown.
  bool late_effect = false;   // The result is unknown; takes effect seconds later.
  bool no_answer = false;     // No answer, with or without effect.
  bool false_refusal = false; // Refused without cause and without effect.
  bool false_success = false; // Reported as done without effect.
};

// Injected defects of a publisher that the oracle has to detect.
enum class publisher_defect { none, unknown_is_refused, ignores_versions, trusts_done };

// One publication in the simulation.
struct publisher {
  publication_state state;
  support::time_point timer_at;
  std::uint64_t timer_number = 0;
  std::optional<publication_finished> result;
};

// Simulation of one case, deterministic for a given seed.
class publication_simulation {
public:
  publication_simulation(std::uint64_t seed, platform_faults faults, publisher_defect defect);

  // Adds a publisher that starts at the given time.
  void add_publisher(const publication_plan& plan, support::milliseconds start);

  // Runs until no events are left.
  void run();

  const std::vector<publisher>& publishers() const { return publishers_; }
  const std::map<std::string, table_row>& rows() const { return rows_; }

  // Number of transactions that wrote the head row.
  std::uint64_t head_writes() const { return head_writes_; }

  // Checks the results against the invariants; returns a description of the first violation, or an
  // empty string.
  std::string check_invariants() const;

private:
  using event = std::function<void()>;

  void schedule_at(support::time_point when, event what);
  void deliver(std::size_t index, const publication_event& input);
  void apply_defect(publisher& each, const platform_answer& answer) const;
  void handle_request(std::size_t index, const platform_request& request);
  void set_publisher_timer(std::size_t index, support::time_point when);
  platform_answer apply_request(const platform_request& request);
  bool write(const write_rows& operation);
  bool chance(double part) { return support::uniform_unit(random_) < part; }
  support::milliseconds random_delay(std::int64_t max_ms);

  support::random_source random_;
  platform_faults faults_;
  publisher_defect defect_;
  support::time_point now_{};
  std::multimap<support::time_point, event> event_queue_;
  std::vector<publisher> publishers_;
  std::map<std::string, table_row> rows_;
  std::map<std::string, std::string> objects_;
  std::uint64_t head_writes_ = 0;
};

} // namespace acaciasill::control

#endif

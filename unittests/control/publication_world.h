#ifndef ACACIASILL_UNITTESTS_CONTROL_PUBLICATION_WORLD_H
#define ACACIASILL_UNITTESTS_CONTROL_PUBLICATION_WORLD_H

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "acaciasill/control/publication.h"

// A platform of a few rows that fails as it is told, with publishers in virtual time.
namespace acaciasill::control {

// What may go wrong with each request.
struct platform_faults {
  bool outage = false;        // All requests fail before they take effect, for a time.
  bool lost_before = false;   // No effect, and the end is unknown.
  bool lost_after = false;    // Takes effect, and the end is unknown.
  bool late_effect = false;   // The end is unknown, and it takes effect seconds later.
  bool no_answer = false;     // With or without effect, and no answer comes.
  bool false_refusal = false; // Refused without a reason and without effect.
  bool false_done = false;    // Called done without effect.
};

// Deliberate faults of a publisher, which the oracle has to find.
enum class publisher_defect { none, unknown_is_refused, ignores_versions, believes_done };

struct publisher {
  publication_state state;
  support::time_point timer_at;
  std::uint64_t timer_number = 0;
  std::optional<publication_finished> result;
};

// The world of one case; the same seed gives the same run.
class publication_world {
public:
  publication_world(std::uint64_t seed, platform_faults faults, publisher_defect defect);

  // Adds a publisher that starts at the given time.
  void add_publisher(const publication_plan& plan, support::milliseconds start);

  // Runs until nothing is left to happen.
  void run();

  const std::vector<publisher>& publishers() const { return publishers_; }
  const std::map<std::string, table_row>& rows() const { return rows_; }

  // The number of times that the head row took a new value.
  std::uint64_t head_writes() const { return head_writes_; }

  // What is wrong with the outcome by the oracle; empty where nothing is.
  std::string judge() const;

private:
  using happening = std::function<void()>;

  void at(support::time_point when, happening what);
  void deliver(std::size_t index, const publication_event& input);
  void apply_defect(publisher& each, const platform_answer& answer) const;
  void carry(std::size_t index, const platform_request& request);
  void set_timer_of(std::size_t index, support::time_point when);
  platform_answer take_effect(const platform_request& request);
  bool write(const write_rows& operation);
  bool chance(double part) { return support::uniform_unit(random_) < part; }
  support::milliseconds random_span(std::int64_t max_ms);

  support::random_source random_;
  platform_faults faults_;
  publisher_defect defect_;
  support::time_point now_{};
  std::multimap<support::time_point, happening> agenda_;
  std::vector<publisher> publishers_;
  std::map<std::string, table_row> rows_;
  std::map<std::string, std::string> objects_;
  std::uint64_t head_writes_ = 0;
};

} // namespace acaciasill::control

#endif

#ifndef ACACIASILL_NET_LOAD_RESULTS_H
#define ACACIASILL_NET_LOAD_RESULTS_H

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "acaciasill/net/load_histogram.h"
#include "acaciasill/net/load_plan.h"

// What a run of the load tool counted, and how it is printed.
namespace acaciasill::net {

// The width of the windows of a goodput series.
inline constexpr support::milliseconds window_length{100};

// How a whole request ended for its caller, after all its attempts.
enum class call_result : std::uint8_t {
  useful,  // A whole answer within the deadline.
  late,    // A whole answer after the deadline.
  not_run, // The last answer said that the call was not run.
  unknown, // The last answer said that the outcome is unknown.
  failed,  // Any other answer.
  timeout, // No answer while the caller waited.
  broken,  // The connection failed.
};

inline constexpr std::size_t call_result_count = 7;

// The printed name of a result.
const char* result_name(call_result result);

// What was counted for one class in one phase.
struct class_tally {
  std::uint64_t offered = 0;
  std::uint64_t attempts = 0;
  std::array<std::uint64_t, call_result_count> results{};
  // Attempts that did not complete, by result code, or by status where there was no code.
  std::map<std::string, std::uint64_t> refusals;
  // From the intended arrival to the whole answer.
  load_histogram latency;

  std::uint64_t count(call_result result) const {
    return results[static_cast<std::size_t>(result)];
  }
  std::uint64_t& count(call_result result) { return results[static_cast<std::size_t>(result)]; }

  void merge(const class_tally& other);
};

// The series of one class, one number for each window from the start of the run.
struct class_series {
  // By the moment of the intended arrival.
  std::vector<std::uint32_t> offered;
  // By the moment of the answer.
  std::vector<std::uint32_t> useful;

  void merge(const class_series& other);
};

// All that one thread, or the whole run, counted.
class load_results {
public:
  load_results() = default;
  explicit load_results(const load_plan& plan);

  class_tally& tally(std::size_t kind, std::size_t phase) { return tallies_[kind][phase]; }
  const class_tally& tally(std::size_t kind, std::size_t phase) const {
    return tallies_[kind][phase];
  }

  void add_offered(std::size_t kind, std::size_t phase, support::duration arrival);
  void add_useful(std::size_t kind, std::size_t phase, support::duration arrival,
                  support::duration answer);
  void add_late(std::size_t kind, std::size_t phase, support::duration latency);

  // Answers that belong to another call, and answers that are not whole.
  std::uint64_t foreign_answers = 0;
  std::uint64_t cut_answers = 0;
  // Lines of the call log.
  std::string call_log;

  const class_series& series(std::size_t kind) const { return series_[kind]; }

  void merge(const load_results& other);

private:
  // By class, then by phase.
  std::vector<std::vector<class_tally>> tallies_;
  std::vector<class_series> series_;
};

// The time from the end of the trigger until one second's goodput is back at this part of the
// goodput before, in whole windows; nothing where it never is or the plan asks for none.
std::optional<support::milliseconds> recovery_time(const std::vector<std::uint32_t>& useful,
                                                   const recovery_spans& spans);

inline constexpr double recovered_part = 0.95;

// The useful answers of all classes by window.
std::vector<std::uint32_t> total_useful(const load_plan& plan, const load_results& results);

// The results as JSON lines: one for each class and phase, one series for each class, a summary.
std::string format_results(const load_plan& plan, const load_results& results);

} // namespace acaciasill::net

#endif

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

// Results of a run of the load tool and their output format.
namespace acaciasill::net {

// Width of one window of a goodput series.
inline constexpr support::milliseconds window_length{100};

// Final result of a call after all its attempts.
enum class call_result : std::uint8_t {
  useful,  // A valid answer arrived within the deadline.
  late,    // A valid answer arrived after the deadline.
  not_run, // The last answer reported that the call was not run.
  unknown, // The last answer reported an unknown outcome.
  failed,  // Any other answer, including truncated and mismatched ones.
  timeout, // The deadline passed before an answer arrived.
  broken,  // The connection could not be opened or failed.
};

inline constexpr std::size_t call_result_count = 7;

// Name of a result in the output.
const char* result_name(call_result result);

// Counters of one class in one phase.
struct class_tally {
  std::uint64_t offered = 0;
  std::uint64_t attempts = 0;
  std::array<std::uint64_t, call_result_count> results{};
  // Attempts that did not complete, by result code, or by HTTP status if there was no code.
  std::map<std::string, std::uint64_t> refusals;
  // Time from the scheduled arrival to the complete answer.
  load_histogram latency;

  std::uint64_t count(call_result result) const {
    return results[static_cast<std::size_t>(result)];
  }
  std::uint64_t& count(call_result result) { return results[static_cast<std::size_t>(result)]; }

  void merge(const class_tally& other);
};

// Time series of one class with one count per window, from the start of the run.
struct class_series {
  // Offered calls by scheduled arrival time.
  std::vector<std::uint32_t> offered;
  // Useful answers by the time at which they arrived.
  std::vector<std::uint32_t> useful;

  void merge(const class_series& other);
};

// All counters of one thread or of a complete run.
class load_results {
public:
  load_results() = default;
  explicit load_results(const load_plan& plan);

  class_tally& tally(std::size_t class_index, std::size_t phase) {
    return tallies_[class_index][phase];
  }
  const class_tally& tally(std::size_t class_index, std::size_t phase) const {
    return tallies_[class_index][phase];
  }

  void add_offered(std::size_t class_index, std::size_t phase, support::duration arrival);
  void add_useful(std::size_t class_index, std::size_t phase, support::duration arrival,
                  support::duration answer);
  void add_late(std::size_t class_index, std::size_t phase, support::duration latency);

  // Numbers of answers that belong to another call, and of truncated answers.
  std::uint64_t foreign_answers = 0;
  std::uint64_t cut_answers = 0;
  // Lines of the call log, one per attempt.
  std::string call_log;

  const class_series& series(std::size_t class_index) const { return series_[class_index]; }

  void merge(const load_results& other);

private:
  // Counters indexed by class, then by phase.
  std::vector<std::vector<class_tally>> tallies_;
  std::vector<class_series> series_;
};

// Time from the end of the fault until the goodput of one second reaches recovery_threshold times
// the baseline, in whole windows. Returns nullopt if it never does or the plan has no baseline.
std::optional<support::milliseconds> recovery_time(const std::vector<std::uint32_t>& useful,
                                                   const recovery_spans& spans);

// Fraction of the baseline goodput that counts as recovered.
inline constexpr double recovery_threshold = 0.95;

// Useful answers of all classes by window.
std::vector<std::uint32_t> total_useful(const load_plan& plan, const load_results& results);

// Formats the results as JSON lines: one line per class and phase, one series per class, and a
// summary.
std::string format_results(const load_plan& plan, const load_results& results);

} // namespace acaciasill::net

#endif

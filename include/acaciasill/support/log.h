#ifndef ACACIASILL_SUPPORT_LOG_H
#define ACACIASILL_SUPPORT_LOG_H

#include <atomic>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "absl/status/status.h"

#include "acaciasill/support/time.h"

namespace acaciasill::support {

// How much a log line matters.
enum class log_level { debug, info, warning, error };

// Where the lines go.
enum class log_target : std::uint8_t {
  standard_error,  // Each line at once.
  standard_output, // Gathered; lines are dropped and counted where nobody reads them in time.
};

// How a process writes its log.
struct log_settings {
  log_level level = log_level::info;
  bool json = false;
  log_target target = log_target::standard_error;

  bool operator==(const log_settings&) const = default;
};

// Reads "debug", "info", "warning" or "error"; wrong_type otherwise.
absl::Status parse_log_level(std::string_view text, log_level& level);

// Sets up the process's log. Call once, before other threads start.
void start_logging(const log_settings& settings);

// Writes one line with the part's fixed prefix, for example "[membership]".
void write_log(log_level level, std::string_view part, std::string_view message);

// One named value of a line.
struct log_field {
  std::string_view name;
  std::string value;

  bool operator==(const log_field&) const = default;
};

// Writes one line with named values behind its message.
void write_event(log_level level, std::string_view part, std::string_view message,
                 std::initializer_list<log_field> fields);

// Writes out the lines that were gathered for standard output, as far as it takes them without
// waiting. To be called several times a second, and before the process ends.
void flush_log();

// Bounds the lines that single requests cause, so that an overload does not become one of the log.
// Any thread may ask.
class event_budget {
public:
  // Lines that are allowed in each second.
  explicit event_budget(std::uint32_t lines_per_second) : most_(lines_per_second) {}

  // Whether one more line may be written now. Where it starts a new second, dropped says how many
  // lines were not written in the one before.
  bool allow(time_point now, std::uint32_t& dropped);

private:
  std::uint32_t most_;
  std::atomic<std::int64_t> second_{0};
  std::atomic<std::uint32_t> used_{0};
};

} // namespace acaciasill::support

#endif

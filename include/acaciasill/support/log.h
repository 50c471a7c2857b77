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

// Severity of a log line.
enum class log_level { debug, info, warning, error };

// Destination of log lines.
enum class log_target : std::uint8_t {
  standard_error,  // Flushed after each line.
  standard_output, // Buffered until flush_log; lines that do not fit are dropped and counted.
};

// Log settings of a process.
struct log_settings {
  log_level level = log_level::info;
  bool json = false;
  log_target target = log_target::standard_error;

  bool operator==(const log_settings&) const = default;
};

// Parses "debug", "info", "warning" or "error". Errors: wrong_type.
absl::Status parse_log_level(std::string_view text, log_level& level);

// Configures logging for the process. Call once, before other threads start.
void start_logging(const log_settings& settings);

// Writes one log line. The part names the component, for example "membership", and is written as
// "[membership]" in text format.
void write_log(log_level level, std::string_view part, std::string_view message);

// A named value in a log line.
struct log_field {
  std::string_view name;
  std::string value;

  bool operator==(const log_field&) const = default;
};

// Writes one log line with named values after its message.
void write_event(log_level level, std::string_view part, std::string_view message,
                 std::initializer_list<log_field> fields);

// Writes buffered lines to standard output until a write would block. Call several times a second
// and before the process exits.
void flush_log();

// Limits the rate of log lines that individual requests cause, so that an overload of requests does
// not overload logging. Thread-safe.
class log_rate_limiter {
public:
  explicit log_rate_limiter(std::uint32_t lines_per_second)
      : max_lines_per_second_(lines_per_second) {}

  // Returns true if one more line may be written now. On the first call in a new second, dropped is
  // set to the number of lines refused in the last second that had calls; otherwise to 0.
  bool allow(time_point now, std::uint32_t& dropped);

private:
  std::uint32_t max_lines_per_second_;
  std::atomic<std::int64_t> current_second_{0};
  std::atomic<std::uint32_t> lines_requested_{0};
};

} // namespace acaciasill::support

#endif

#include "acaciasill/support/log.h"

#include <algorithm>
#include <climits>
#include <iostream>
#include <mutex>
#include <utility>
#include <vector>

#include <poll.h>
#include <unistd.h>

#include <boost/core/null_deleter.hpp>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <nlohmann/json.hpp>

#include "acaciasill/support/result_code.h"

namespace acaciasill::support {
namespace {

namespace logging = boost::log;

std::string_view level_name(log_level level) {
  switch (level) {
  case log_level::debug:
    return "debug";
  case log_level::info:
    return "info";
  case log_level::warning:
    return "warning";
  case log_level::error:
    return "error";
  }
  return "error";
}

using field_list = std::vector<std::pair<std::string, std::string>>;

// Bounded buffer of lines for standard output. Lines that do not fit are dropped and counted.
class buffered_output {
public:
  void append(std::string_view line) {
    const std::lock_guard lock(mutex_);
    if (buffer_.size() + line.size() > max_buffer_bytes) {
      ++dropped_lines_;
      return;
    }
    buffer_.append(line);
    buffer_.push_back('\n');
  }

  void flush() {
    const std::lock_guard lock(mutex_);
    if (dropped_lines_ > 0 && buffer_.empty()) {
      buffer_ = "dropped_log_lines=" + std::to_string(std::exchange(dropped_lines_, 0)) + "\n";
    }
    while (!buffer_.empty() && can_write()) {
      // A pipe reported as writable accepts at least PIPE_BUF bytes without blocking.
      const auto count =
          ::write(STDOUT_FILENO, buffer_.data(), std::min<std::size_t>(buffer_.size(), PIPE_BUF));
      if (count <= 0) {
        return;
      }
      buffer_.erase(0, static_cast<std::size_t>(count));
    }
  }

private:
  static constexpr std::size_t max_buffer_bytes = std::size_t{256} * 1024;

  static bool can_write() {
    pollfd descriptor{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
  }

  std::mutex mutex_;
  std::string buffer_;
  std::uint64_t dropped_lines_ = 0;
};

buffered_output& standard_output() {
  static buffered_output output;
  return output;
}

// Boost.Log sink backend that appends formatted lines to the buffer for standard output.
class buffered_sink_backend
    : public logging::sinks::basic_formatted_sink_backend<char,
                                                          logging::sinks::concurrent_feeding> {
public:
  void consume(const logging::record_view& /*record*/, const std::string& line) {
    standard_output().append(line);
  }
};

void format_record(const logging::record_view& record, logging::formatting_ostream& out,
                   bool json) {
  const auto level = logging::extract<log_level>("Severity", record);
  const auto part = logging::extract<std::string>("Part", record);
  const auto time = logging::extract<boost::posix_time::ptime>("TimeStamp", record);
  const auto message = logging::extract<std::string>("Message", record);
  const auto fields = logging::extract<field_list>("Fields", record);
  const std::string stamp = time ? boost::posix_time::to_iso_extended_string(*time) + "Z" : "";
  const std::string text = message ? *message : "";
  const std::string part_name = part ? *part : "";
  const auto name = level_name(level ? *level : log_level::info);
  if (json) {
    nlohmann::json line = {
        {"time", stamp}, {"level", name}, {"part", part_name}, {"message", text}};
    if (fields) {
      for (const auto& [key, value] : *fields) {
        line[key] = value;
      }
    }
    out << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return;
  }
  out << stamp << ' ' << name << " [" << part_name << "] " << text;
  if (fields) {
    for (const auto& [key, value] : *fields) {
      out << ' ' << key << '=' << value;
    }
  }
}

} // namespace

absl::Status parse_log_level(std::string_view text, log_level& level) {
  for (const auto candidate :
       {log_level::debug, log_level::info, log_level::warning, log_level::error}) {
    if (text == level_name(candidate)) {
      level = candidate;
      return absl::OkStatus();
    }
  }
  return make_error(result_code::wrong_type, "the log level must be debug, info, warning or error");
}

namespace {

boost::shared_ptr<logging::sinks::text_ostream_backend> standard_error_backend() {
  auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  backend->auto_flush(true);
  return backend;
}

template <typename Backend>
void add_sink(const boost::shared_ptr<Backend>& backend, const log_settings& settings) {
  auto sink = boost::make_shared<logging::sinks::synchronous_sink<Backend>>(backend);
  sink->set_formatter(
      [json = settings.json](const logging::record_view& record, logging::formatting_ostream& out) {
        format_record(record, out, json);
      });
  sink->set_filter([level = settings.level](const logging::attribute_value_set& values) {
    const auto severity = logging::extract<log_level>("Severity", values);
    return !severity || *severity >= level;
  });
  logging::core::get()->add_sink(sink);
}

} // namespace

void start_logging(const log_settings& settings) {
  const auto core = logging::core::get();
  core->remove_all_sinks();
  if (settings.target == log_target::standard_output) {
    add_sink(boost::make_shared<buffered_sink_backend>(), settings);
  } else {
    add_sink(standard_error_backend(), settings);
  }
  core->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
}

void write_log(log_level level, std::string_view part, std::string_view message) {
  thread_local logging::sources::severity_logger<log_level> logger;
  BOOST_LOG_SEV(logger, level) << logging::add_value("Part", std::string(part)) << message;
}

void write_event(log_level level, std::string_view part, std::string_view message,
                 std::initializer_list<log_field> fields) {
  thread_local logging::sources::severity_logger<log_level> logger;
  field_list values;
  values.reserve(fields.size());
  for (const auto& [name, value] : fields) {
    values.emplace_back(name, value);
  }
  BOOST_LOG_SEV(logger, level) << logging::add_value("Part", std::string(part))
                               << logging::add_value("Fields", values) << message;
}

void flush_log() {
  standard_output().flush();
}

bool log_rate_limiter::allow(time_point now, std::uint32_t& dropped) {
  dropped = 0;
  const auto second = std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
  auto before = current_second_.load(std::memory_order_relaxed);
  if (before != second &&
      current_second_.compare_exchange_strong(before, second, std::memory_order_relaxed)) {
    const auto requested = lines_requested_.exchange(0, std::memory_order_relaxed);
    dropped = requested > max_lines_per_second_ ? requested - max_lines_per_second_ : 0;
  }
  return lines_requested_.fetch_add(1, std::memory_order_relaxed) < max_lines_per_second_;
}

} // namespace acaciasill::support

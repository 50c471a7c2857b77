#include "acaciasill/support/log.h"

#include <iostream>
#include <utility>

#include <boost/core/null_deleter.hpp>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
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

void format_record(const logging::record_view& record, logging::formatting_ostream& out,
                   bool json) {
  const auto level = logging::extract<log_level>("Severity", record);
  const auto part = logging::extract<std::string>("Part", record);
  const auto time = logging::extract<boost::posix_time::ptime>("TimeStamp", record);
  const auto message = logging::extract<std::string>("Message", record);
  const std::string stamp = time ? boost::posix_time::to_iso_extended_string(*time) + "Z" : "";
  const std::string text = message ? *message : "";
  const std::string part_name = part ? *part : "";
  const auto name = level_name(level ? *level : log_level::info);
  if (json) {
    const nlohmann::json line = {
        {"time", stamp}, {"level", name}, {"part", part_name}, {"message", text}};
    out << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return;
  }
  out << stamp << ' ' << name << " [" << part_name << "] " << text;
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

void start_logging(const log_settings& settings) {
  using backend_type = logging::sinks::text_ostream_backend;
  auto backend = boost::make_shared<backend_type>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  backend->auto_flush(true);
  auto sink = boost::make_shared<logging::sinks::synchronous_sink<backend_type>>(backend);
  sink->set_formatter(
      [json = settings.json](const logging::record_view& record, logging::formatting_ostream& out) {
        format_record(record, out, json);
      });
  sink->set_filter([level = settings.level](const logging::attribute_value_set& values) {
    const auto severity = logging::extract<log_level>("Severity", values);
    return !severity || *severity >= level;
  });
  const auto core = logging::core::get();
  core->remove_all_sinks();
  core->add_sink(sink);
  core->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
}

void write_log(log_level level, std::string_view part, std::string_view message) {
  thread_local logging::sources::severity_logger<log_level> logger;
  BOOST_LOG_SEV(logger, level) << logging::add_value("Part", std::string(part)) << message;
}

} // namespace acaciasill::support

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include "absl/strings/numbers.h"
#include "acaciasill/model/settings_reader.h"
#include "acaciasill/net/load_plan.h"
#include "acaciasill/net/load_report.h"
#include "acaciasill/net/load_run.h"
#include "acaciasill/support/command_line.h"
#include "acaciasill/support/log.h"
#include "acaciasill/support/result_code.h"

namespace {

using namespace acaciasill;
using support::command_line;
using support::make_error;
using support::result_code;

const support::program_description program{
    "acaciasill-load",
    "Generates load on daemons and servers and reports the results.\n"
    "  run PLAN.yaml        runs a plan and prints its results as JSON lines\n"
    "  direct               runs one class of calls given by --url, --rate and --seconds\n"
    "  report RESULT...     formats result files as one HTML page",
    {{"output", 'o', "FILE", "output file instead of standard output"},
     {"seed", 0, "N", "seed of the random arrivals and request ids"},
     {"url", 0, "URL", "direct: http://ADDRESS:PORT/PATH"},
     {"method", 0, "NAME", "direct: HTTP method, GET by default"},
     {"organisation", 0, "NAME", "direct: organisation of the caller"},
     {"rate", 0, "N", "direct: arrivals per second; 0 for a closed loop without think time"},
     {"seconds", 0, "N", "direct: length of the run in seconds"},
     {"connections", 0, "N",
      "direct: connections per thread; also the number of clients if the rate is 0"},
     {"threads", 0, "N", "direct: number of threads"},
     {"deadline-ms", 0, "N", "direct: deadline of each call in ms"}}};

int report_error(const absl::Status& status) {
  return support::report_failure(program.name, status);
}

bool write_output(const command_line& line, const std::string& text) {
  const auto path = line.value("output");
  if (!path) {
    std::cout << text << std::flush;
    return static_cast<bool>(std::cout);
  }
  std::ofstream out(*path);
  out << text << std::flush;
  return static_cast<bool>(out);
}

int write_result(const command_line& line, const std::string& text) {
  if (write_output(line, text)) {
    return support::exit_success;
  }
  return report_error(make_error(result_code::file_not_readable, "cannot write the output"));
}

int run_plan(const command_line& line, const net::load_plan& plan) {
  const auto results = net::run_load(plan);
  if (!plan.call_log.empty()) {
    std::ofstream(plan.call_log) << results.call_log;
  }
  return write_result(line, net::format_results(plan, results));
}

// Reads an optional numeric option into `target`; false if it is not a number in [min, max].
template <typename Number>
bool read_number_option(const command_line& line, const char* name, Number& target, Number min,
                        Number max) {
  const auto text = line.value(name);
  if (!text) {
    return true;
  }
  double value = 0.0;
  if (!absl::SimpleAtod(*text, &value) || value < static_cast<double>(min) ||
      value > static_cast<double>(max)) {
    return false;
  }
  target = static_cast<Number>(value);
  return true;
}

int run_file(const command_line& line) {
  if (line.positionals().size() != 2) {
    return report_error(
        make_error(result_code::bad_command_line, "run expects exactly one plan file"));
  }
  net::load_plan plan;
  const auto findings =
      model::read_settings_file(line.positionals()[1], [&plan](model::settings_reader& reader) {
        net::read_load_plan(reader, plan);
      });
  if (!findings.empty()) {
    model::print_findings(findings);
    return support::exit_bad_input;
  }
  constexpr std::uint64_t max_seed = UINT64_MAX >> 1U;
  if (!read_number_option<std::uint64_t>(line, "seed", plan.seed, 0, max_seed)) {
    return report_error(
        make_error(result_code::bad_command_line, "--seed is not a number in the allowed range"));
  }
  return run_plan(line, plan);
}

// Parses "http://ADDRESS:PORT/PATH" into the target of the plan and the path of the class.
bool parse_url(const std::string& url, net::load_plan& plan, net::load_class& call_class) {
  const std::string scheme = "http://";
  if (url.rfind(scheme, 0) != 0) {
    return false;
  }
  const auto slash = url.find('/', scheme.size());
  const auto host = url.substr(scheme.size(), slash - scheme.size());
  plan.targets = {host};
  call_class.path = slash == std::string::npos ? "/" : url.substr(slash);
  return host.rfind(':') != std::string::npos;
}

int run_direct(const command_line& line) {
  net::load_plan plan;
  net::load_class call_class;
  call_class.name = "direct";
  call_class.method = line.value("method").value_or("GET");
  call_class.organisation = line.value("organisation").value_or("");
  double rate = 0.0;
  double length_s = 5.0;
  std::uint32_t connections = 50;
  std::int64_t deadline_ms = 1000;
  constexpr std::uint64_t max_seed = UINT64_MAX >> 1U;
  const bool valid =
      read_number_option(line, "rate", rate, 0.0, 1e6) &&
      read_number_option(line, "seconds", length_s, 0.1, 600.0) &&
      read_number_option(line, "connections", connections, 1U, 20000U) &&
      read_number_option(line, "threads", plan.threads, 1U, 64U) &&
      read_number_option<std::int64_t>(line, "deadline-ms", deadline_ms, 1, 600000) &&
      read_number_option<std::uint64_t>(line, "seed", plan.seed, 0, max_seed) &&
      parse_url(line.value("url").value_or(""), plan, call_class);
  if (!valid) {
    return report_error(make_error(result_code::bad_command_line,
                                   "an option of direct is missing or invalid; see --help"));
  }
  call_class.rate = rate;
  call_class.clients = rate > 0.0 ? 0 : connections;
  call_class.deadline = support::milliseconds(deadline_ms);
  plan.connections = connections;
  plan.classes.push_back(call_class);
  plan.phases.push_back(
      {"direct", support::milliseconds(static_cast<std::int64_t>(length_s * 1000.0)), {}});
  return run_plan(line, plan);
}

int make_report(const command_line& line) {
  std::vector<net::result_file> files;
  for (std::size_t index = 1; index < line.positionals().size(); ++index) {
    const auto& path = line.positionals()[index];
    std::ifstream in(path);
    if (!in) {
      return report_error(make_error(result_code::file_not_readable, path));
    }
    std::ostringstream text;
    text << in.rdbuf();
    files.push_back({path, text.str()});
  }
  if (files.empty()) {
    return report_error(
        make_error(result_code::bad_command_line, "report expects at least one result file"));
  }
  const auto page = net::format_report(files);
  return page.ok() ? write_result(line, *page) : report_error(page.status());
}

} // namespace

int main(int argc, char** argv) {
  int status = support::exit_success;
  const auto line = support::start_command_line(argc, argv, program, status);
  if (!line) {
    return status;
  }
  support::start_logging({});
  std::signal(SIGPIPE, SIG_IGN);
  const auto command = line->positionals().empty() ? "" : line->positionals()[0];
  if (command == "run") {
    return run_file(*line);
  }
  if (command == "direct") {
    return run_direct(*line);
  }
  if (command == "report") {
    return make_report(*line);
  }
  return report_error(make_error(result_code::bad_command_line, "expected run, direct or report"));
}

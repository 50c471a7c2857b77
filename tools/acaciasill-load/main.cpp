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
    "Load and experiments against daemons and servers.\n"
    "  run PLAN.yaml        runs a plan and prints its results as JSON lines\n"
    "  direct               runs one class of calls given by --url, --rate, --seconds\n"
    "  report RESULT...     makes one HTML page of files of results",
    {{"output", 'o', "FILE", "writes here in place of standard output"},
     {"seed", 0, "N", "the seed of arrivals and ids"},
     {"url", 0, "URL", "direct: http://ADDRESS:PORT/PATH"},
     {"method", 0, "NAME", "direct: the method, GET by default"},
     {"organisation", 0, "NAME", "direct: the organisation"},
     {"rate", 0, "N", "direct: arrivals a second; 0 for as many as the clients manage"},
     {"seconds", 0, "N", "direct: the length of the run"},
     {"connections", 0, "N", "direct: connections of each thread, and clients where rate is 0"},
     {"threads", 0, "N", "direct: threads"},
     {"deadline-ms", 0, "N", "direct: the deadline of each call"}}};

int fail(const absl::Status& status) {
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

int finish(const command_line& line, const std::string& text) {
  if (write_output(line, text)) {
    return support::exit_success;
  }
  return fail(make_error(result_code::file_not_readable, "cannot write the output"));
}

int run_plan(const command_line& line, const net::load_plan& plan) {
  const auto results = net::run_load(plan);
  if (!plan.call_log.empty()) {
    std::ofstream(plan.call_log) << results.call_log;
  }
  return finish(line, net::format_results(plan, results));
}

// Reads a number option that has a default; false where it is no number within the bounds.
template <typename Number>
bool number_option(const command_line& line, const char* name, Number& target, Number min,
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
    return fail(make_error(result_code::bad_command_line, "run takes one plan"));
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
  if (!number_option<std::uint64_t>(line, "seed", plan.seed, 0, max_seed)) {
    return fail(make_error(result_code::bad_command_line, "--seed is no number"));
  }
  return run_plan(line, plan);
}

// Splits "http://ADDRESS:PORT/PATH" into the plan's target and the class's path.
bool read_url(const std::string& url, net::load_plan& plan, net::load_class& kind) {
  const std::string scheme = "http://";
  if (url.rfind(scheme, 0) != 0) {
    return false;
  }
  const auto slash = url.find('/', scheme.size());
  const auto host = url.substr(scheme.size(), slash - scheme.size());
  plan.targets = {host};
  kind.path = slash == std::string::npos ? "/" : url.substr(slash);
  return host.rfind(':') != std::string::npos;
}

int run_direct(const command_line& line) {
  net::load_plan plan;
  net::load_class kind;
  kind.name = "direct";
  kind.method = line.value("method").value_or("GET");
  kind.organisation = line.value("organisation").value_or("");
  double rate = 0.0;
  double length_s = 5.0;
  std::uint32_t connections = 50;
  std::int64_t deadline_ms = 1000;
  constexpr std::uint64_t max_seed = UINT64_MAX >> 1U;
  const bool good = number_option(line, "rate", rate, 0.0, 1e6) &&
                    number_option(line, "seconds", length_s, 0.1, 600.0) &&
                    number_option(line, "connections", connections, 1U, 20000U) &&
                    number_option(line, "threads", plan.threads, 1U, 64U) &&
                    number_option<std::int64_t>(line, "deadline-ms", deadline_ms, 1, 600000) &&
                    number_option<std::uint64_t>(line, "seed", plan.seed, 0, max_seed) &&
                    read_url(line.value("url").value_or(""), plan, kind);
  if (!good) {
    return fail(make_error(result_code::bad_command_line, "see --help for the options of direct"));
  }
  kind.rate = rate;
  kind.clients = rate > 0.0 ? 0 : connections;
  kind.deadline = support::milliseconds(deadline_ms);
  plan.connections = connections;
  plan.classes.push_back(kind);
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
      return fail(make_error(result_code::file_not_readable, path));
    }
    std::ostringstream text;
    text << in.rdbuf();
    files.push_back({path, text.str()});
  }
  if (files.empty()) {
    return fail(make_error(result_code::bad_command_line, "report takes files of results"));
  }
  const auto page = net::format_report(files);
  return page.ok() ? finish(line, *page) : fail(page.status());
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
  return fail(make_error(result_code::bad_command_line, "expected run, direct or report"));
}

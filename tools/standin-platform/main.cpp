#include <csignal>
#include <iostream>
#include <memory>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include "absl/strings/numbers.h"
#include "acaciasill/model/settings_reader.h"
#include "acaciasill/net/platform_protocol.h"
#include "acaciasill/support/command_line.h"
#include "acaciasill/support/log.h"
#include "acaciasill/support/log_options.h"
#include "acaciasill/support/result_code.h"
#include "acaciasill/support/time.h"
#include "service.h"

namespace {

using namespace acaciasill;

constexpr std::int64_t max_port = 65535;

const support::program_description program = {
    "standin-platform",
    "Simulates the platform's table service and object store in memory. Faults are injected "
    "by\nPOST /fault?kind=outage|hang|slow|lost|wrong|clear&scope=all|reads|writes&after=N&"
    "count=N&seconds=S&ms=M.",
    support::with_log_options({{"config", 'c', "FILE", "settings in YAML"},
                               {"port", 'p', "PORT", "listen port; overrides the settings file"}})};

// Settings of the stand-in platform.
struct platform_settings {
  std::string address = "127.0.0.1";
  // Port 0 selects a free port, which is printed.
  std::uint16_t port = 0;
};

std::vector<model::finding> read_settings(const std::string& path, platform_settings& settings) {
  return model::read_settings_file(path, [&](model::settings_reader& reader) {
    reader.text("address", settings.address);
    reader.integer("port", settings.port, 0, max_port);
  });
}

absl::Status read_port_option(const support::command_line& line, std::uint16_t& field) {
  const auto text = line.value("port");
  std::int64_t port = 0;
  if (!text) {
    return absl::OkStatus();
  }
  if (!absl::SimpleAtoi(*text, &port) || port < 0 || port > max_port) {
    return support::make_error(support::result_code::bad_command_line, "--port takes 0 to 65535");
  }
  field = static_cast<std::uint16_t>(port);
  return absl::OkStatus();
}

// Sends the response after the result's delay.
void send_response(asio::io_context& context, standin::service_result result,
                   net::http_responder respond) {
  if (result.delay.count() == 0) {
    respond(std::move(result.response));
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(context, result.delay);
  timer->async_wait([timer, respond = std::move(respond),
                     response = std::move(result.response)](const asio::error_code& error) {
    if (!error) {
      respond(response);
    }
  });
}

int serve(const platform_settings& settings) {
  asio::io_context context(1);
  standin::platform_service service;
  net::http_server_settings server_settings;
  server_settings.address = settings.address;
  server_settings.port = settings.port;
  server_settings.max_body_bytes = net::max_platform_body_bytes;
  net::http_server server(context, server_settings,
                          {[&](const net::http_request& request, net::http_responder respond) {
                             auto result = service.handle(request, support::monotonic_now());
                             if (result.is_sent) {
                               send_response(context, std::move(result), std::move(respond));
                             }
                           },
                           [](std::uint64_t /*connection*/) {}});
  if (const auto status = server.open(); !status.ok()) {
    return support::report_failure(program.name, status);
  }
  std::cout << "listening on " << settings.address << ':' << server.port() << std::endl;
  asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](const asio::error_code& /*error*/, int /*signal*/) { context.stop(); });
  context.run();
  support::write_log(support::log_level::info, "platform", "stopped");
  return support::exit_success;
}

} // namespace

int main(int argc, char** argv) {
  int exit_status = support::exit_success;
  const auto line = support::start_command_line(argc, argv, program, exit_status);
  if (!line) {
    return exit_status;
  }
  const auto log = support::read_log_options(*line);
  if (!log.ok()) {
    return support::report_failure(program.name, log.status());
  }
  platform_settings settings;
  if (const auto path = line->value("config")) {
    if (const auto findings = read_settings(*path, settings); !findings.empty()) {
      model::print_findings(findings);
      return support::exit_bad_input;
    }
  }
  if (const auto status = read_port_option(*line, settings.port); !status.ok()) {
    return support::report_failure(program.name, status);
  }
  support::start_logging(*log);
  return serve(settings);
}

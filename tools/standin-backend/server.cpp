#include "server.h"

#include <csignal>
#include <iostream>
#include <thread>

#include <asio/signal_set.hpp>
#include <nlohmann/json.hpp>
#include <restinio/all.hpp>

#include "absl/strings/match.h"
#include "acaciasill/support/command_line.h"
#include "acaciasill/support/log.h"
#include "acaciasill/support/result_code.h"
#include "announcer.h"
#include "call_job.h"
#include "server_context.h"

namespace acaciasill::standin {
namespace {

constexpr support::milliseconds drain_poll_period{50};
constexpr std::size_t max_body_bytes = std::size_t{8} << 20U;
// With a limit of one, RESTinio stops reading while a call runs and does not notice that the
// connection was closed.
constexpr std::size_t max_pipelined_calls = 4;
constexpr std::chrono::hours handling_timeout{1};

// Cancels the calls of a connection when it is closed.
class connection_close_listener {
public:
  explicit connection_close_listener(server_context& context) : context_(context) {}

  void state_changed(const restinio::connection_state::notice_t& notice) noexcept {
    if (!restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) {
      return;
    }
    for (const auto& job : context_.calls.close(notice.connection_id())) {
      job->cancel();
    }
  }

private:
  server_context& context_;
};

struct server_traits : restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t> {
  using connection_state_listener_t = connection_close_listener;
};

using http_server = restinio::http_server_t<server_traits>;

restinio::request_handling_status_t respond_text(const restinio::request_handle_t& request,
                                                 restinio::http_status_line_t status,
                                                 std::string body) {
  return request->create_response(std::move(status)).set_body(std::move(body)).done();
}

// Sets the faults given in a JSON object; false if the body is not valid. Members before an invalid
// one take effect.
bool set_faults(fault_state& faults, const std::string& body) {
  const auto document = nlohmann::json::parse(body, nullptr, false);
  if (!document.is_object()) {
    return false;
  }
  for (const auto& [key, value] : document.items()) {
    if (key == "slow_factor" && value.is_number() && value.get<double>() >= 0.0) {
      faults.slow_factor = value.get<double>();
      continue;
    }
    if (key == "fail_ratio" && value.is_number()) {
      faults.fail_ratio = value.get<double>();
      continue;
    }
    if (key == "refuse" && value.is_boolean()) {
      faults.refuse = value.get<bool>();
      continue;
    }
    return false;
  }
  return true;
}

restinio::request_handling_status_t handle_control(server_context& context,
                                                   const restinio::request_handle_t& request) {
  const auto path = request->header().path();
  const bool is_post = request->header().method() == restinio::http_method_post();
  if (path == "/standin/counters") {
    return respond_text(request, restinio::status_ok(), context.counters.to_json() + "\n");
  }
  if (path == "/standin/requests") {
    return respond_text(request, restinio::status_ok(), context.counters.list_requests());
  }
  if (path == "/standin/keys") {
    return respond_text(request, restinio::status_ok(), context.counters.list_keys());
  }
  if (path != "/standin/control" || !is_post) {
    return respond_text(request, restinio::status_not_found(), "no such control path or method\n");
  }
  if (!set_faults(context.faults, request->body())) {
    return respond_text(request, restinio::status_bad_request(),
                        "expected a JSON object with slow_factor, fail_ratio, refuse\n");
  }
  return respond_text(request, restinio::status_ok(), "ok\n");
}

restinio::request_handling_status_t handle_request(server_context& context,
                                                   const restinio::request_handle_t& request) {
  const auto path = request->header().path();
  if (absl::StartsWith(absl::string_view(path.data(), path.size()), "/standin/")) {
    return handle_control(context, request);
  }
  std::make_shared<call_job>(context, request)->begin();
  return restinio::request_accepted();
}

restinio::server_settings_t<server_traits>
make_server_settings(server_context& context, const endpoint& listen, std::uint16_t& bound_port) {
  restinio::server_settings_t<server_traits> target;
  target.address(listen.address)
      .port(listen.port)
      .max_pipelined_requests(max_pipelined_calls)
      .handle_request_timeout(handling_timeout)
      .read_next_http_message_timelimit(handling_timeout)
      .incoming_http_msg_limits(
          restinio::incoming_http_msg_limits_t{}.max_body_size(max_body_bytes))
      .acceptor_options_setter(
          [](auto& options) { options.set_option(asio::ip::tcp::acceptor::reuse_address(true)); })
      .socket_options_setter(
          [](auto& options) { options.set_option(asio::ip::tcp::no_delay(true)); })
      .acceptor_post_bind_hook([&bound_port](asio::ip::tcp::acceptor& acceptor) {
        bound_port = acceptor.local_endpoint().port();
      })
      .connection_state_listener(std::make_shared<connection_close_listener>(context))
      .request_handler([&context](const restinio::request_handle_t& request) {
        return handle_request(context, request);
      });
  return target;
}

// Prints all counters and the calls that arrived after the leave request.
void print_summary(const server_context& context) {
  auto summary = nlohmann::json::parse(context.counters.to_json());
  summary["calls_after_leave"] = context.calls_after_leave.load();
  summary["last_call_after_leave_ms"] =
      support::whole_milliseconds(support::duration(context.last_call_after_leave.load()));
  std::cout << summary.dump() << std::endl;
}

// Sends the leave request, then waits until no call is in flight, at least for the grace period and
// at most until the drain timeout. Returns the process's exit status.
int drain(server_context& context, announcer& announcements) {
  support::write_log(support::log_level::info, "drain", "draining started");
  std::atomic<bool> left{false};
  announcements.leave([&left] { left = true; });
  const auto begin = support::monotonic_now();
  const auto deadline = begin + context.config.drain_timeout;
  const auto earliest = begin + context.config.leave_grace;
  while (support::monotonic_now() < deadline) {
    std::this_thread::sleep_for(drain_poll_period);
    const bool idle = context.counters.totals().in_flight.load() == 0;
    if (left && idle && support::monotonic_now() >= earliest) {
      support::write_log(support::log_level::info, "drain", "no calls in flight; exiting");
      return support::exit_success;
    }
  }
  support::write_log(support::log_level::warning, "drain", "drain timeout expired; exiting");
  return support::exit_failure;
}

// Threads that run the io_context until destruction, which stops the io_context.
class io_threads {
public:
  io_threads(asio::io_context& io, std::uint32_t count)
      : io_(io), work_(asio::make_work_guard(io)) {
    for (std::uint32_t index = 0; index < count; ++index) {
      threads_.emplace_back([this] { io_.run(); });
    }
  }
  io_threads(const io_threads&) = delete;
  io_threads& operator=(const io_threads&) = delete;
  ~io_threads() {
    io_.stop();
    for (auto& thread : threads_) {
      thread.join();
    }
  }

private:
  asio::io_context& io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::vector<std::thread> threads_;
};

void wait_for_termination_signal() {
  asio::io_context io;
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([](const asio::error_code&, int) {});
  io.run();
}

} // namespace

int serve(const settings& config) {
  std::signal(SIGPIPE, SIG_IGN);
  endpoint listen;
  parse_endpoint(config.listen, listen);
  server_context context(config);
  std::uint16_t port = 0;
  http_server server(restinio::external_io_context(context.io),
                     make_server_settings(context, listen, port));
  try {
    server.open_sync();
  } catch (const std::exception& error) {
    return support::report_failure("standin-backend",
                                   support::make_error(support::result_code::port_in_use,
                                                       config.listen + ": " + error.what()));
  }
  const auto address = listen.address + ":" + std::to_string(port);
  std::cout << "listening on " << address << std::endl;
  announcer announcements(context, address);
  announcements.start();
  int status = support::exit_success;
  {
    const io_threads threads(context.io, config.threads);
    wait_for_termination_signal();
    status = drain(context, announcements);
    print_summary(context);
  }
  return status;
}

} // namespace acaciasill::standin

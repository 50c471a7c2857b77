#include "acaciasill/daemon/directory_daemon.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <prometheus/text_serializer.h>

#include "acaciasill/board/call_board.h"
#include "acaciasill/control/replicated_tables.h"
#include "acaciasill/control/stopping.h"
#include "acaciasill/daemon/call_metrics.h"
#include "acaciasill/daemon/call_plane.h"
#include "acaciasill/daemon/entry_calls.h"
#include "acaciasill/daemon/process_metrics.h"
#include "acaciasill/daemon/publishers.h"
#include "acaciasill/daemon/request_thread.h"
#include "acaciasill/model/set_aside.h"
#include "acaciasill/support/log.h"
#include "acaciasill/support/result_code.h"

#include "crash_monitor.h"
#include "directory_support.h"
#include "replica_service.h"

namespace acaciasill::daemon {
namespace {

using control::store_end;
using support::log_level;
using support::write_event;

// Interval of the checks for backend timeouts and stop progress, and of log flushes.
constexpr support::milliseconds housekeeping_period{100};
// Interval of probes while the backend server is lost or unknown.
constexpr support::milliseconds probe_period{500};
// Interval at which the choice of replicas is revised, besides at each change of the directory.
constexpr support::milliseconds replica_choice_period{500};
constexpr std::size_t replica_connections = 4;
constexpr std::size_t max_replica_answer_bytes = std::size_t{16} << 20U;

} // namespace

struct directory_daemon::implementation {
  implementation(asio::io_context& context, const directory_daemon_settings& settings,
                 platform_adapter adapter)
      : context_(context), settings_(settings), adapter_(std::move(adapter)),
        metrics_(settings.threads),
        plane_({settings.threads, settings.peer_listen, peer_settings_for_directory(),
                settings.max_body_bytes, max_buffered_bytes(settings), operating_mode::protect},
               adapter_.protocol, board_, metrics_),
        timer_(context), replica_client_(context, replica_connections, max_replica_answer_bytes),
        routing_{settings.name, settings.data_centre, {}}, crashes_(board_) {}

  ~implementation() { plane_.stop_threads(); }

  absl::Status start() {
    if (auto status = plane_.open(); !status.ok()) {
      return status;
    }
    plane_.make_call_path(nullptr, make_observer());
    const auto callers = net::parse_peer_address(settings_.callers_listen);
    if (!callers.ok()) {
      return callers.status();
    }
    auto status =
        plane_.serve_http(listen_settings(*callers, settings_.max_body_bytes),
                          [this](request_thread& home) { return caller_callbacks(home); });
    if (!status.ok()) {
      return status;
    }
    if (auto opened = open_metrics(); !opened.ok()) {
      return opened;
    }
    start_followers();
    plane_.start_threads();
    schedule_housekeeping();
    write_event(log_level::info, "daemon", "started",
                {{"name", settings_.name},
                 {"data_centre", settings_.data_centre},
                 {"service", settings_.service},
                 {"version", ACS_VERSION}});
    return absl::OkStatus();
  }

  // The callbacks are called on request threads.
  backend_observer make_observer() {
    backend_observer observer;
    observer.on_exchange = [this](bool reached) { on_exchange(reached); };
    observer.on_leaving = [this](const std::string& instance, std::uint64_t start_ms) {
      asio::post(context_,
                 [this, instance, start_ms] { handle_stated_leaving(instance, start_ms); });
    };
    observer.on_unanswered = [this](decide::content_hash content) {
      asio::post(context_, [this, content] { crashes_.record_unanswered(content); });
    };
    observer.on_suspect_answered = [this](decide::content_hash content) {
      asio::post(context_, [this, content] { crashes_.record_answered(content); });
    };
    return observer;
  }

  net::http_server_callbacks caller_callbacks(request_thread& home) {
    return {[this, &home](net::http_request request, net::http_responder respond) {
              last_request_.store(support::monotonic_now().time_since_epoch().count(),
                                  std::memory_order_relaxed);
              if (rejects_callers_.load(std::memory_order_relaxed)) {
                respond(adapter_.protocol.answer_error(
                    request, support::make_error(support::result_code::draining)));
                return;
              }
              plane_.entry().serve(home, std::move(request), std::move(respond));
            },
            [this, &home](std::uint64_t connection) {
              // The callback may be invoked from within another callback of the server.
              asio::post(home.context, [this, &home, connection] {
                plane_.entry().connection_closed(home, connection);
              });
            }};
  }

  absl::Status open_metrics() {
    const auto address = net::parse_peer_address(settings_.metrics_listen);
    if (!address.ok()) {
      return address.status();
    }
    metrics_server_ = std::make_unique<net::http_server>(
        context_, listen_settings(*address, settings_.max_body_bytes),
        net::http_server_callbacks{
            [this](const net::http_request& request, const net::http_responder& respond) {
              if (is_table_read(request)) {
                serve_table_read(request, *tables_, respond);
                return;
              }
              respond(metrics_page());
            },
            [](std::uint64_t) {}});
    return metrics_server_->open();
  }

  net::http_response metrics_page() {
    const prometheus::TextSerializer serializer;
    auto families = metrics_.Collect();
    for (auto& family : collect_call_gauges(board_)) {
      families.push_back(std::move(family));
    }
    for (auto& family : collect_table_metrics(*tables_)) {
      families.push_back(std::move(family));
    }
    return {200,
            {{"content-type", "text/plain; version=0.0.4; charset=utf-8"}},
            serializer.Serialize(families),
            false};
  }

  void start_followers() {
    control::replicated_tables_settings tables;
    tables.local_address = plane_.call_address();
    tables.data_centre = settings_.data_centre;
    tables.configuration_table = adapter_.configuration_table;
    tables.configuration_bound = settings_.configuration_bound;
    tables_ = std::make_unique<control::replicated_tables>(
        tables,
        control::replicated_tables_environment{
            adapter_.store,
            [this](const control::directory_entry& replica, const control::table_read& read,
                   control::store_callback done) {
              send_table_read(context_, replica_client_, replica, read, std::move(done));
            },
            make_delayed_call(context_), support::monotonic_now, random_seed()},
        table_callbacks());
    tables_->start();
  }

  control::replicated_tables_callbacks table_callbacks() {
    return {{[this] { on_members(); },
             [](std::uint64_t era) { log_store_restored("directory", era); },
             [](bool reached, store_end end) { log_store_contact("directory", reached, end); },
             log_invalid_row, log_written_row},
            [this](const control::stored_row& row) { on_configuration_row(row); },
            [](std::uint64_t era) { log_store_restored("configuration", era); },
            [](bool reached, store_end end) { log_store_contact("configuration", reached, end); },
            [this](const std::vector<std::string>& replicas) {
              log_replicas(replicas, tables_->members().version());
            }};
  }

  // Applies the backend state from the directory row written by an earlier process of this daemon.
  void apply_recovered_row() {
    if (recovered_row_applied_ || !tables_ || !tables_->members().is_loaded()) {
      return;
    }
    recovered_row_applied_ = true;
    if (const auto& own = tables_->members().initial_local_entry()) {
      crashes_.adopt(*own);
      const bool leaving = own->state == control::serving_state::leaving;
      if (control::apply_stored_state(backend_state_, own->instance, own->instance_start_ms,
                                      leaving)) {
        write_event(log_level::info, "backend",
                    "directory row records that the backend server is leaving",
                    {{"instance", own->instance},
                     {"directory_version", std::to_string(tables_->members().version())}});
        publish_backend();
      }
    }
  }

  void on_configuration_row(const control::stored_row& row) {
    if (row.key != adapter_.configuration_key || row.removed) {
      return;
    }
    auto published = row.unreadable
                         ? absl::StatusOr<published_configuration>(support::make_error(
                               support::result_code::frame_corrupt, "row value is not base64"))
                         : adapter_.read_configuration(row);
    if (!published.ok()) {
      write_event(log_level::error, "configuration", "cannot parse configuration",
                  {{"row_version", std::to_string(row.version)},
                   {"reason", std::string(published.status().message())}});
      return;
    }
    if (published->version <= version_in_force_) {
      return;
    }
    const auto version = published->version;
    const auto routes = published->set.host_routes.size();
    published->set.generation = version;
    log_invalid_objects(version, published->unreadable);
    auto status = publish_configuration(board_, metrics_, published->set, "");
    if (!status.ok()) {
      // The operator's system has accepted the set, so one object must not keep the others out of
      // force.
      log_invalid_objects(version, model::set_aside_invalid_objects(published->set));
      status = publish_configuration(board_, metrics_, std::move(published->set), "");
    }
    if (!status.ok()) {
      write_event(
          log_level::error, "configuration", "rejected configuration",
          {{"configuration", std::to_string(version)}, {"reason", std::string(status.message())}});
      return;
    }
    write_event(log_level::info, "configuration", "configuration in force",
                {{"configuration", std::to_string(version)},
                 {"before", std::to_string(version_in_force_)},
                 {"row_version", std::to_string(row.version)},
                 {"host_routes", std::to_string(routes)}});
    version_in_force_ = version;
    plane_.for_each_server([limits = published->caller_limits](net::http_server& server) {
      server.set_limits(limits);
    });
    on_members();
  }

  void on_members() {
    apply_recovered_row();
    if (const auto held = held_report_.report; held && !may_have_predecessor()) {
      handle_report(*held);
    }
    publish_crashes();
    publish_routing(
        board_, routing_,
        control::make_cluster_view(tables_->members().entries(), tables_->members().version()),
        support::monotonic_now());
  }

  // Publishes the crashes that the directory and this daemon know.
  void publish_crashes() {
    crashes_.publish(tables_->members().entries(), tables_->members().version(),
                     plane_.call_address());
  }

  // Records and shares a crash of the backend server if requests to it got no answer.
  void record_crash(const char* sign) {
    if (crashes_.record_crash(backend_state_.report.instance, sign)) {
      write_own_row();
      publish_crashes();
    }
  }

  // Checks whether the server has crashed if a request got no answer, and shares what was cleared.
  void check_crashes(support::time_point now) {
    if (crashes_.update(now)) {
      write_own_row();
      publish_crashes();
    }
    if (!crashes_.needs_health_check() || !control::is_serving(backend_state_) || probing_ ||
        now < next_probe_) {
      return;
    }
    probing_ = true;
    next_probe_ = now + probe_period;
    adapter_.probe_backend([this, now](const std::optional<backend_probe>& probe) {
      probing_ = false;
      if (probe && (probe->refused || probe->instance != backend_state_.report.instance)) {
        record_crash(probe->refused ? "health check refused" : "another instance");
      } else if (probe) {
        crashes_.record_alive(now);
      }
    });
  }

  // Publishes the backend server's state to the call board and to the directory.
  void publish_backend() {
    const bool serving = control::is_serving(backend_state_);
    board::backend_target target;
    if (serving) {
      target = {true,
                settings_.service,
                adapter_.backend_address,
                backend_state_.report.instance,
                backend_state_.report.slots,
                0,
                backend_state_.report.start_ms};
    }
    if (!backend_published_ || target != published_backend_) {
      backend_published_ = true;
      published_backend_ = target;
      board_.backend.publish(std::make_unique<const board::backend_target>(target));
      publish_admission(board_);
      if (!serving) {
        plane_.upstream().refuse_queued_calls();
      }
    }
    // The directory publishes views itself, so no RCU read section may be open here.
    write_own_row();
  }

  void write_own_row() {
    control::directory_entry entry;
    entry.call_address = plane_.call_address();
    entry.name = settings_.name;
    entry.data_centre = settings_.data_centre;
    entry.service = settings_.service;
    entry.instance = backend_state_.report.instance;
    entry.instance_start_ms = backend_state_.report.start_ms;
    entry.slots = backend_state_.report.slots;
    entry.replica_port = metrics_server_->port();
    entry.crashes = crashes_.shared();
    using control::backend_availability;
    if (backend_state_.availability == backend_availability::leaving) {
      entry.state = control::serving_state::leaving;
    } else if (stopping_since_) {
      entry.state = control::serving_state::stopping;
    } else if (control::is_serving(backend_state_)) {
      entry.state = control::serving_state::ready;
    }
    // While the state is unknown, the row written by an earlier process is left in place.
    if (backend_state_.availability != backend_availability::unknown) {
      tables_->members().set_local_entry(entry);
    }
  }

  // Whether an earlier process of this daemon may have known the backend server.
  bool may_have_predecessor() const {
    const auto& members = tables_->members();
    return !members.is_loaded() || members.initial_local_entry().has_value();
  }

  void handle_report(const control::backend_report& report) {
    if (!control::hold_report(held_report_, backend_state_, report, may_have_predecessor())) {
      accept_report(report);
      return;
    }
    write_event(log_level::info, "backend", "backend server report has to be confirmed",
                {{"instance", report.instance},
                 {"start_ms", std::to_string(report.start_ms)},
                 {"sequence", std::to_string(report.sequence)}});
    next_probe_ = {};
    probe_if_needed(support::monotonic_now());
  }

  void accept_report(const control::backend_report& report) {
    const auto effect = control::apply_report(backend_state_, report, support::monotonic_now());
    if (effect == control::report_effect::none) {
      return;
    }
    write_event(log_level::info, "backend", "backend server report",
                {{"instance", report.instance},
                 {"start_ms", std::to_string(report.start_ms)},
                 {"sequence", std::to_string(report.sequence)},
                 {"slots", std::to_string(report.slots)},
                 {"draining", report.draining ? "true" : "false"},
                 {"effect", name_of(effect)}});
    if (effect == control::report_effect::new_instance) {
      record_crash("new instance");
      plane_.upstream().backend_announced(report.warm_up_left.count() > 0);
    }
    publish_backend();
  }

  void handle_departure(const std::string& instance, std::optional<std::uint64_t> start_ms) {
    const bool changed = control::apply_departure(backend_state_, instance, start_ms);
    write_event(log_level::info, "backend", "backend server left",
                {{"instance", instance}, {"news", changed ? "true" : "false"}});
    if (changed) {
      publish_backend();
    }
  }

  void handle_stated_leaving(const std::string& instance, std::uint64_t start_ms) {
    if (control::apply_departure(backend_state_, instance, start_ms)) {
      write_event(log_level::info, "backend", "backend server states that it is leaving",
                  {{"instance", instance}, {"start_ms", std::to_string(start_ms)}});
      publish_backend();
    }
  }

  // Thread-safe.
  void on_exchange(bool reached) {
    if (reached && !last_exchange_failed_.load(std::memory_order_relaxed)) {
      backend_responded_.store(true, std::memory_order_relaxed);
      return;
    }
    last_exchange_failed_.store(!reached, std::memory_order_relaxed);
    asio::post(context_, [this, reached] {
      if (control::record_request_result(backend_state_, reached, support::monotonic_now())) {
        write_event(log_level::warning, "backend", "backend server refuses connections",
                    {{"instance", backend_state_.report.instance}});
        record_crash("connections refused");
        publish_backend();
      }
    });
  }

  void schedule_housekeeping() {
    timer_.expires_after(housekeeping_period);
    timer_.async_wait([this](asio::error_code error) {
      if (error) {
        return;
      }
      const auto now = support::monotonic_now();
      check_backend(now);
      check_crashes(now);
      check_generation_lag(now);
      if (now >= next_replica_choice_) {
        next_replica_choice_ = now + replica_choice_period;
        tables_->revise();
      }
      advance_stop(now);
      support::flush_log();
      schedule_housekeeping();
    });
  }

  void check_backend(support::time_point now) {
    if (backend_responded_.exchange(false, std::memory_order_relaxed)) {
      control::record_request_result(backend_state_, true, now);
    }
    if (control::check_report_timeout(backend_state_, now, settings_.backend_timeout)) {
      write_event(log_level::warning, "backend", "no report or response from the backend server",
                  {{"instance", backend_state_.report.instance}});
      publish_backend();
    }
    probe_if_needed(now);
  }

  // Whether a health check may tell more about the backend server than is known.
  bool needs_probe() const {
    using control::backend_availability;
    return backend_state_.availability == backend_availability::unknown ||
           backend_state_.availability == backend_availability::lost || held_report_.report;
  }

  void probe_if_needed(support::time_point now) {
    // The path of the health check is part of the configuration.
    if (needs_probe() && version_in_force_ != 0 && !probing_ && now >= next_probe_) {
      probing_ = true;
      next_probe_ = now + probe_period;
      adapter_.probe_backend([this](const std::optional<backend_probe>& probe) {
        probing_ = false;
        apply_probe(probe);
      });
    }
  }

  // Refreshes the configuration if peers have one in force that the feed has not delivered.
  void check_generation_lag(support::time_point now) {
    if (!board::should_request_configuration(board_.generations, generation_lag_, now)) {
      return;
    }
    write_event(log_level::warning, "configuration", "peers have a newer configuration in force",
                {{"configuration", std::to_string(version_in_force_)},
                 {"heard", std::to_string(board_.generations.highest_seen.load())},
                 {"lag_ms", std::to_string(support::whole_milliseconds(
                                now - generation_lag_.since.value_or(now)))}});
    tables_->refresh_configuration();
  }

  void apply_probe(const std::optional<backend_probe>& probe) {
    if (!probe || probe->instance.empty() || !(probe->serving || probe->leaving) ||
        !needs_probe()) {
      return;
    }
    apply_recovered_row();
    if (probe->leaving) {
      apply_leaving_probe(probe->instance);
      return;
    }
    if (const auto report = control::release_report(held_report_, probe->instance)) {
      accept_report(*report);
      return;
    }
    if (backend_state_.availability == control::backend_availability::leaving) {
      return;
    }
    control::apply_healthy_probe(backend_state_, probe->instance, probe->slots,
                                 support::monotonic_now());
    write_event(log_level::info, "backend", "backend server found by probe",
                {{"instance", backend_state_.report.instance},
                 {"slots", std::to_string(backend_state_.report.slots)}});
    publish_backend();
  }

  void apply_leaving_probe(const std::string& instance) {
    if (control::apply_leaving_probe(backend_state_, held_report_, instance)) {
      write_event(
          log_level::info, "backend", "health check states that the server is leaving",
          {{"instance", instance}, {"start_ms", std::to_string(backend_state_.report.start_ms)}});
      publish_backend();
    }
  }

  bool is_ready() const { return version_in_force_ != 0 && !stopping_since_; }

  void stop() {
    if (stopping_since_) {
      return;
    }
    stopping_since_ = support::monotonic_now();
    write_event(log_level::info, "daemon", "stopping",
                {{"calls_in_flight", std::to_string(board_.calls_in_flight.load())}});
    board_.leaving.store(true, std::memory_order_release);
    // Calls of other daemons are refused from now on, so that they are retried elsewhere.
    board_.gate.draining.store(true, std::memory_order_release);
    plane_.for_each_server([](net::http_server& server) { server.set_draining(); });
    write_own_row();
  }

  void advance_stop(support::time_point now) {
    if (!stopping_since_) {
      return;
    }
    const auto in_flight = unanswered_calls(board_, plane_);
    const support::time_point last_request{
        support::duration(last_request_.load(std::memory_order_relaxed))};
    const auto step =
        control::next_shutdown_phase({settings_.stop_time, settings_.caller_notice_time},
                                     now - *stopping_since_, now - last_request, in_flight);
    rejects_callers_.store(step != control::shutdown_phase::accepts_requests,
                           std::memory_order_relaxed);
    if (step == control::shutdown_phase::finished) {
      write_event(in_flight == 0 ? log_level::info : log_level::warning, "daemon", "stopped",
                  {{"calls_cut_off", std::to_string(in_flight)}});
      support::flush_log();
      plane_.stop_accepting();
      context_.stop();
    }
  }

  asio::io_context& context_;
  directory_daemon_settings settings_;
  platform_adapter adapter_;
  board::call_board board_;
  call_metrics metrics_;
  call_plane plane_;
  asio::steady_timer timer_;
  net::http_client replica_client_;
  routing_publisher routing_;
  std::unique_ptr<net::http_server> metrics_server_;
  std::unique_ptr<control::replicated_tables> tables_;
  support::time_point next_replica_choice_{};
  control::backend_state backend_state_;
  control::held_report held_report_;
  std::uint64_t version_in_force_ = 0;
  board::generation_lag generation_lag_;
  bool recovered_row_applied_ = false;
  crash_monitor crashes_;
  // Last target published to the call board.
  board::backend_target published_backend_;
  bool backend_published_ = false;
  bool probing_ = false;
  support::time_point next_probe_{};
  std::optional<support::time_point> stopping_since_;
  std::atomic<bool> rejects_callers_{false};
  std::atomic<bool> backend_responded_{false};
  std::atomic<bool> last_exchange_failed_{false};
  std::atomic<support::duration::rep> last_request_{0};
};

directory_daemon::directory_daemon(asio::io_context& control_context,
                                   const directory_daemon_settings& settings,
                                   platform_adapter adapter)
    : implementation_(
          std::make_unique<implementation>(control_context, settings, std::move(adapter))) {}

directory_daemon::~directory_daemon() = default;

absl::Status directory_daemon::start() {
  return implementation_->start();
}

void directory_daemon::handle_report(const control::backend_report& report) {
  implementation_->handle_report(report);
}

void directory_daemon::handle_departure(const std::string& instance,
                                        std::optional<std::uint64_t> start_ms) {
  implementation_->handle_departure(instance, start_ms);
}

bool directory_daemon::is_ready() const {
  return implementation_->is_ready();
}

void directory_daemon::stop() {
  implementation_->stop();
}

} // namespace acaciasill::daemon

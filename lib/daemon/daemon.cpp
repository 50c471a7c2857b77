#include "acaciasill/daemon/daemon.h"

#include <algorithm>
#include <csignal>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>

#include "acaciasill/board/call_board.h"
#include "acaciasill/daemon/admin_pages.h"
#include "acaciasill/daemon/call_metrics.h"
#include "acaciasill/daemon/call_plane.h"
#include "acaciasill/daemon/claim_loop.h"
#include "acaciasill/daemon/control_loop.h"
#include "acaciasill/daemon/entry_calls.h"
#include "acaciasill/daemon/request_thread.h"
#include "acaciasill/daemon/upstream_calls.h"
#include "acaciasill/model/configuration_set.h"
#include "acaciasill/model/embedded_defaults.h"
#include "acaciasill/net/gossip_socket.h"
#include "acaciasill/net/http_server.h"
#include "acaciasill/net/peer_listener.h"
#include "acaciasill/net/peer_pool.h"
#include "acaciasill/net/platform_client.h"
#include "acaciasill/support/hash.h"
#include "acaciasill/support/log.h"
#include "acaciasill/support/result_code.h"

namespace acaciasill::daemon {
namespace {

using support::log_level;

constexpr support::milliseconds housekeeping_period{50};
// Time for which a stopping daemon still answers on open connections after the last call in flight
// has ended.
constexpr support::milliseconds close_grace_period{300};

// Converts an address that has already been validated.
net::http_server_settings http_settings(const daemon_settings& settings,
                                        const net::peer_address& address) {
  net::http_server_settings result;
  result.address = address.address().to_string();
  result.port = address.port();
  result.share_port = true;
  result.max_body_bytes = settings.max_body_bytes;
  return result;
}

net::peer_settings peer_settings_of(const daemon_settings& settings) {
  net::peer_settings result;
  result.peer_key = settings.peer_key;
  result.allow_unauthenticated = settings.allow_unauthenticated;
  return result;
}

} // namespace

struct daemon_process::implementation {
  explicit implementation(const daemon_settings& settings)
      : settings_(settings), peer_settings_(peer_settings_of(settings)), metrics_(settings.threads),
        plane_({settings.threads, settings.peer_listen, peer_settings_, settings.max_body_bytes,
                net::default_max_buffered_bytes, settings.mode},
               native_protocol(), board_, metrics_),
        control_context_(1), signals_(control_context_), housekeeping_(control_context_),
        close_timer_(control_context_) {}

  ~implementation() { plane_.stop_threads(); }

  absl::Status start() {
    curl_global_init(CURL_GLOBAL_ALL);
    if (auto status = open_calls(); !status.ok()) {
      return status;
    }
    if (auto status = open_control(); !status.ok()) {
      return status;
    }
    if (auto status = load_configuration(); !status.ok()) {
      return status;
    }
    if (auto status = open_http(); !status.ok()) {
      return status;
    }
    plane_.start_threads();
    return absl::OkStatus();
  }

  // Binds the peer address and creates the call path.
  absl::Status open_calls() {
    if (auto status = plane_.open(); !status.ok()) {
      return status;
    }
    if (!settings_.platform_url.empty()) {
      // The random part makes a restarted daemon a different claim holder.
      const auto holder = settings_.name + "-" + std::to_string(random_seed());
      claims_ = std::make_unique<claim_loop>(
          control_context_, holder, random_seed(),
          [this](const control::platform_request& request) { send_platform_request(request); });
      claim_operations_ = claims_->operations();
    }
    plane_.make_call_path(claims_ ? &claim_operations_ : nullptr, {});
    return absl::OkStatus();
  }

  absl::Status open_control() {
    const auto address = net::parse_gossip_address(settings_.gossip_listen);
    if (!address.ok()) {
      return address.status();
    }
    auto socket = net::gossip_socket::open(
        control_context_, *address, peer_settings_,
        [this](const std::string& from, control::datagram message) {
          control_->handle(control::peer_received{from, std::move(message)});
        });
    if (!socket.ok()) {
      return socket.status();
    }
    gossip_ = *std::move(socket);
    if (!settings_.platform_url.empty()) {
      net::platform_client_settings platform_settings;
      platform_settings.url = settings_.platform_url;
      platform_ = std::make_unique<net::platform_client>(
          platform_settings, [this](control::platform_answer answer) {
            asio::post(control_context_,
                       [this, answer = std::move(answer)] { dispatch_platform_answer(answer); });
          });
    }
    make_control();
    return absl::OkStatus();
  }

  void dispatch_platform_answer(const control::platform_answer& answer) {
    if (claim_loop::is_claim_ticket(answer.ticket)) {
      claims_->handle_platform_answer(answer);
      return;
    }
    control_->handle(answer);
  }

  void make_control() {
    control::node_settings node;
    node.name = settings_.name;
    node.data_centre = settings_.data_centre;
    node.region = settings_.region;
    node.call_address = plane_.call_address();
    node.gossip_address = gossip_->address();
    node.seeds = settings_.seeds;
    // A daemon with a local configuration folder has a configuration before it contacts any member.
    node.serve_without_configuration =
        settings_.serve_without_configuration || !settings_.configuration_dir.empty();
    control_ = std::make_unique<control_loop>(
        control_context_, board_, metrics_, node, random_seed(),
        control_callbacks{
            [this](const control::send_datagram& action) {
              gossip_->send(action.to, action.message);
            },
            [this](const control::platform_request& request) { send_platform_request(request); },
            [this] { on_ready_to_exit(); }});
    registry_ = std::make_unique<backend_registry>(
        board_, settings_.heartbeat_timeout,
        backend_callbacks{[this](const backend_announcement& announcement, bool is_new) {
                            on_backend_change(announcement, is_new);
                          },
                          [this] { control_->handle(control::backend_left{}); }});
  }

  void send_platform_request(const control::platform_request& request) {
    if (platform_) {
      platform_->send(request);
      return;
    }
    control::platform_answer answer;
    answer.ticket = request.ticket;
    answer.end = control::platform_end::failed_before;
    asio::post(control_context_, [this, answer] { control_->handle(answer); });
  }

  void on_backend_change(const backend_announcement& announcement, bool is_new) {
    if (is_new) {
      plane_.upstream().backend_announced(announcement.cold);
      support::write_log(log_level::info, "backend",
                         "backend server of service " + announcement.service + " registered");
      control_->handle(control::backend_announced{announcement.service, announcement.slots,
                                                  announcement.connections, announcement.address});
      return;
    }
    control_->handle(
        control::backend_reported{announcement.slots, announcement.connections, false});
  }

  absl::Status load_configuration() {
    if (!settings_.configuration_dir.empty()) {
      std::vector<model::finding> findings;
      auto loaded = model::load_directory(settings_.configuration_dir, findings);
      if (!findings.empty()) {
        model::print_findings(findings);
        return support::make_error(findings.front().code, settings_.configuration_dir);
      }
      return publish_local_configuration(std::move(loaded.set));
    }
    if (settings_.serve_without_configuration) {
      return publish_local_configuration(model::embedded_defaults());
    }
    return absl::OkStatus();
  }

  absl::Status publish_local_configuration(model::configuration set) {
    const auto digest = support::sha256_hex(model::serialise(set));
    set.generation = 0;
    return publish_configuration(board_, metrics_, std::move(set), digest);
  }

  absl::Status open_http() {
    const auto address = net::parse_peer_address(settings_.http_listen);
    if (!address.ok()) {
      return address.status();
    }
    admin_ = {&board_,
              &metrics_,
              &gossip_->counters(),
              plane_.threads(),
              settings_.name,
              settings_.data_centre,
              [this](const backend_announcement& announcement) { post_announcement(announcement); },
              [this] { asio::post(control_context_, [this] { registry_->leave(); }); },
              [this](auto callback) {
                asio::post(control_context_, [this, callback = std::move(callback)] {
                  callback(control_->status(), control_->view());
                });
              },
              [this](const std::string& organisation, const std::string& key, auto callback) {
                asio::post(control_context_, [this, organisation, key, callback] {
                  query_key(organisation, key, callback);
                });
              }};
    auto status = plane_.serve_http(http_settings(settings_, *address),
                                    [this](request_thread& home) { return callbacks_for(home); });
    if (!status.ok()) {
      return status;
    }
    support::write_log(log_level::info, "gossip", "listening on " + gossip_->address());
    return absl::OkStatus();
  }

  net::http_server_callbacks callbacks_for(request_thread& home) {
    return {[this, &home](net::http_request request, net::http_responder respond) {
              on_http(home, std::move(request), std::move(respond));
            },
            [this, &home](std::uint64_t connection) {
              // The callback may be invoked from within another callback of the server.
              asio::post(home.context, [this, &home, connection] {
                plane_.entry().connection_closed(home, connection);
              });
            }};
  }

  void on_http(request_thread& home, net::http_request request, net::http_responder respond) {
    if (board_.leaving.load(std::memory_order_acquire)) {
      respond = [inner = std::move(respond)](net::http_response response) {
        response.close_connection = true;
        inner(std::move(response));
      };
    }
    if (request.target.compare(0, sizeof(call_prefix) - 1, call_prefix) == 0) {
      plane_.entry().serve(home, std::move(request), std::move(respond));
      return;
    }
    serve_admin_page(admin_, home, request, std::move(respond));
  }

  void query_key(const std::string& organisation, const std::string& key,
                 const std::function<void(std::string)>& done) {
    if (!claims_) {
      done(describe_key({}));
      return;
    }
    claims_->query_key(organisation, key,
                       [done](const control::key_answer& answer) { done(describe_key(answer)); });
  }

  void post_announcement(const backend_announcement& announcement) {
    asio::post(control_context_, [this, announcement] {
      registry_->announce(announcement, support::monotonic_now());
    });
  }

  void run() {
    const board::rcu_reader_thread registration;
    signals_.add(SIGTERM);
    signals_.add(SIGINT);
    signals_.async_wait([this](asio::error_code error, int /*signal*/) {
      if (!error) {
        begin_stop();
      }
    });
    schedule_housekeeping();
    asio::post(control_context_, [this] { control_->handle(control::node_started{}); });
    control_context_.run();
    support::write_log(log_level::info, "daemon", "stopped");
  }

  void begin_stop() {
    support::write_log(log_level::info, "daemon", "leaving; waiting for calls in flight");
    stop_deadline_ = support::monotonic_now() + settings_.stop_timeout;
    control_->handle(control::shutdown_requested{});
  }

  void schedule_housekeeping() {
    housekeeping_.expires_after(housekeeping_period);
    housekeeping_.async_wait([this](asio::error_code error) {
      if (error) {
        return;
      }
      run_housekeeping();
      schedule_housekeeping();
    });
  }

  void run_housekeeping() {
    const auto now = support::monotonic_now();
    registry_->check_heartbeat(now);
    if (!stop_deadline_) {
      return;
    }
    const auto in_flight = unanswered_calls(board_, plane_);
    if (in_flight != reported_in_flight_) {
      reported_in_flight_ = in_flight;
      control_->handle(control::in_flight_reported{in_flight});
    }
    if (now >= *stop_deadline_) {
      support::write_log(log_level::warning, "daemon",
                         "stop timeout reached with " + std::to_string(in_flight) +
                             " calls in flight");
      control_context_.stop();
    }
  }

  void on_ready_to_exit() {
    plane_.stop_accepting();
    wait_for_last_calls();
  }

  // Requests that were in transit when the listeners closed are still answered.
  void wait_for_last_calls() {
    close_timer_.expires_after(close_grace_period);
    close_timer_.async_wait([this](asio::error_code error) {
      if (error) {
        return;
      }
      if (unanswered_calls(board_, plane_) == 0) {
        control_context_.stop();
        return;
      }
      wait_for_last_calls();
    });
  }

  daemon_settings settings_;
  net::peer_settings peer_settings_;
  board::call_board board_;
  call_metrics metrics_;
  call_plane plane_;
  asio::io_context control_context_;
  asio::signal_set signals_;
  asio::steady_timer housekeeping_;
  asio::steady_timer close_timer_;
  std::unique_ptr<claim_loop> claims_;
  key_claims claim_operations_;
  std::shared_ptr<net::gossip_socket> gossip_;
  std::unique_ptr<control_loop> control_;
  std::unique_ptr<backend_registry> registry_;
  admin_environment admin_;
  // Must be destroyed before the members that its answers use, hence declared after them.
  std::unique_ptr<net::platform_client> platform_;
  std::optional<support::time_point> stop_deadline_;
  std::optional<std::uint64_t> reported_in_flight_;
};

daemon_process::daemon_process(const daemon_settings& settings)
    : implementation_(std::make_unique<implementation>(settings)) {}

daemon_process::~daemon_process() = default;

absl::Status daemon_process::start() {
  return implementation_->start();
}

void daemon_process::run() {
  implementation_->run();
}

} // namespace acaciasill::daemon

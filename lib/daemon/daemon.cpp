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
// The time for which a leaving daemon still answers on open connections once nothing is in flight.
constexpr support::milliseconds close_grace{300};
constexpr std::uint32_t default_backend_connections = 750;
constexpr std::size_t secret_bytes = 32;

std::uint64_t random_seed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string random_secret() {
  std::random_device device;
  std::string secret;
  while (secret.size() < secret_bytes) {
    secret.push_back(static_cast<char>(device()));
  }
  return secret;
}

// Splits "ip:port"; both parts were checked before.
net::http_server_settings http_settings(const daemon_settings& settings,
                                        const net::peer_address& address) {
  net::http_server_settings result;
  result.address = address.address().to_string();
  result.port = address.port();
  result.share_port = true;
  result.max_body_bytes = settings.max_body_bytes;
  return result;
}

std::string to_text(const net::peer_address& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

} // namespace

struct daemon_process::implementation {
  explicit implementation(const daemon_settings& settings)
      : settings_(settings), metrics_(settings.threads), control_context_(1),
        signals_(control_context_), housekeeping_(control_context_),
        close_timer_(control_context_) {
    const std::string secret = random_secret();
    for (std::size_t index = 0; index < settings.threads; ++index) {
      threads_.push_back(std::make_unique<request_thread>(index, random_seed(), secret));
    }
  }

  ~implementation() {
    stop_threads();
    if (peers_) {
      peers_->stop();
    }
  }

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
    start_threads();
    return absl::OkStatus();
  }

  // Makes the call path and binds the address for other daemons.
  absl::Status open_calls() {
    peer_settings_.peer_key = settings_.peer_key;
    peer_settings_.allow_unauthenticated = settings_.allow_unauthenticated;
    const auto address = net::parse_peer_address(settings_.peer_listen);
    if (!address.ok()) {
      return address.status();
    }
    const auto contexts = request_contexts();
    auto listener = net::peer_listener::listen(
        contexts, *address, peer_settings_,
        {[this](const net::call_key& key, wire::call_request request, net::call_responder respond) {
           on_peer_call(key, std::move(request), std::move(respond));
         },
         [this](const net::call_key& key) { on_peer_cancel(key); }});
    if (!listener.ok()) {
      return listener.status();
    }
    listener_ = *std::move(listener);
    call_address_ = to_text(listener_->address());
    peers_ = std::make_unique<net::peer_pool>(contexts, peer_settings_);
    make_call_path();
    return absl::OkStatus();
  }

  void make_call_path() {
    const auto connections =
        std::max<std::size_t>(1, default_backend_connections / threads_.size());
    for (auto& thread : threads_) {
      thread->backend = std::make_unique<net::backend_client>(thread->context, connections,
                                                              settings_.max_body_bytes);
    }
    peer_calls_.resize(threads_.size());
    if (!settings_.platform_url.empty()) {
      // A restarted daemon is another holder, which the random part assures.
      const auto holder = settings_.name + "-" + std::to_string(random_seed());
      claims_ = std::make_unique<claim_loop>(
          control_context_, holder, random_seed(),
          [this](const control::platform_request& request) { ask_platform(request); });
      claim_operations_ = claims_->operations();
    }
    upstream_ = std::make_unique<upstream_calls>(
        upstream_environment{&board_, thread_pointers(), &metrics_,
                             claims_ ? &claim_operations_ : nullptr, settings_.mode});
    entry_ = std::make_unique<entry_calls>(entry_environment{&board_, thread_pointers(), &metrics_,
                                                             peers_.get(), upstream_.get(),
                                                             settings_.mode, call_address_});
    upstream_->start();
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
                       [this, answer = std::move(answer)] { take_platform_answer(answer); });
          });
    }
    make_control();
    return absl::OkStatus();
  }

  void take_platform_answer(const control::platform_answer& answer) {
    if (claim_loop::owns_ticket(answer.ticket)) {
      claims_->take_answer(answer);
      return;
    }
    control_->handle(answer);
  }

  void make_control() {
    control::node_settings node;
    node.name = settings_.name;
    node.data_centre = settings_.data_centre;
    node.region = settings_.region;
    node.call_address = call_address_;
    node.gossip_address = gossip_->address();
    node.seeds = settings_.seeds;
    // A daemon with a folder of its own holds a configuration before it asks anybody.
    node.serve_without_configuration =
        settings_.serve_without_configuration || !settings_.configuration_dir.empty();
    control_ = std::make_unique<control_loop>(
        control_context_, board_, metrics_, node, random_seed(),
        control_sinks{[this](const control::send_datagram& action) {
                        gossip_->send(action.to, action.message);
                      },
                      [this](const control::platform_request& request) { ask_platform(request); },
                      [this] { on_ready_to_exit(); }});
    registry_ = std::make_unique<backend_registry>(
        board_, settings_.heartbeat_timeout,
        backend_callbacks{[this](const backend_announcement& announcement, bool is_new) {
                            on_backend_change(announcement, is_new);
                          },
                          [this] { control_->handle(control::backend_left{}); }});
  }

  void ask_platform(const control::platform_request& request) {
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
      upstream_->backend_announced(announcement.cold);
      support::write_log(log_level::info, "backend",
                         "the backend server of " + announcement.service + " announced itself");
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
      return serve_own_set(std::move(loaded.set));
    }
    if (settings_.serve_without_configuration) {
      return serve_own_set(model::embedded_defaults());
    }
    return absl::OkStatus();
  }

  absl::Status serve_own_set(model::configuration set) {
    const auto digest = support::sha256_hex(model::serialise(set));
    set.generation = 0;
    return publish_configuration(board_, metrics_, std::move(set), digest);
  }

  absl::Status open_http() {
    const auto address = net::parse_peer_address(settings_.http_listen);
    if (!address.ok()) {
      return address.status();
    }
    auto http = http_settings(settings_, *address);
    const auto port = net::reserve_port(http.address, http.port);
    if (!port.ok()) {
      return port.status();
    }
    http.port = *port;
    admin_ = {&board_,
              &metrics_,
              &gossip_->counters(),
              thread_pointers(),
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
                  ask_key(organisation, key, callback);
                });
              }};
    for (auto& thread : threads_) {
      auto server =
          std::make_unique<net::http_server>(thread->context, http, callbacks_for(*thread));
      if (auto status = server->open(); !status.ok()) {
        return status;
      }
      servers_.push_back(std::move(server));
    }
    support::write_log(log_level::info, "http",
                       "listening on " + http.address + ":" + std::to_string(http.port));
    support::write_log(log_level::info, "peers", "listening on " + call_address_);
    support::write_log(log_level::info, "gossip", "listening on " + gossip_->address());
    return absl::OkStatus();
  }

  net::http_server_callbacks callbacks_for(request_thread& home) {
    return {[this, &home](net::http_request request, net::http_responder respond) {
              on_http(home, std::move(request), std::move(respond));
            },
            [this, &home](std::uint64_t connection) {
              // The notice may come from within a callback of the server itself.
              asio::post(home.context, [this, &home, connection] {
                entry_->connection_closed(home, connection);
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
      entry_->serve(home, std::move(request), std::move(respond));
      return;
    }
    serve_admin_page(admin_, home, request, std::move(respond));
  }

  void ask_key(const std::string& organisation, const std::string& key,
               const std::function<void(std::string)>& done) {
    if (!claims_) {
      done(describe_key({}));
      return;
    }
    claims_->ask(organisation, key,
                 [done](const control::key_answer& answer) { done(describe_key(answer)); });
  }

  void post_announcement(const backend_announcement& announcement) {
    asio::post(control_context_, [this, announcement] {
      registry_->announce(announcement, support::monotonic_now());
    });
  }

  // The thread that runs now, by the context that its event loop belongs to.
  request_thread& this_thread() { return *threads_[current_thread_index]; }

  void on_peer_call(const net::call_key& key, wire::call_request request,
                    net::call_responder respond) {
    auto& home = this_thread();
    auto& calls = peer_calls_[home.index];
    // The reply may come before serve returns; then there is nothing to remember.
    auto replied = std::make_shared<bool>(false);
    const auto id = upstream_->serve(
        home, std::move(request),
        [&calls, key, replied, respond = std::move(respond)](wire::call_reply reply) {
          *replied = true;
          calls.erase(key);
          respond(std::move(reply));
        });
    if (!*replied) {
      calls.emplace(key, id);
    }
  }

  void on_peer_cancel(const net::call_key& key) {
    auto& home = this_thread();
    auto& calls = peer_calls_[home.index];
    if (const auto found = calls.find(key); found != calls.end()) {
      upstream_->cancel(home, found->second);
    }
  }

  void start_threads() {
    for (auto& thread : threads_) {
      thread->thread = std::thread([&home = *thread] {
        const board::rcu_reader_thread registration;
        current_thread_index = home.index;
        home.context.run();
      });
    }
  }

  void stop_threads() {
    for (auto& thread : threads_) {
      thread->work.reset();
      thread->context.stop();
    }
    for (auto& thread : threads_) {
      if (thread->thread.joinable()) {
        thread->thread.join();
      }
    }
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
    arm_housekeeping();
    asio::post(control_context_, [this] { control_->handle(control::node_started{}); });
    control_context_.run();
    support::write_log(log_level::info, "daemon", "stopped");
  }

  void begin_stop() {
    support::write_log(log_level::info, "daemon", "leaving; calls in flight will end");
    stop_deadline_ = support::monotonic_now() + settings_.stop_timeout;
    control_->handle(control::shutdown_requested{});
  }

  void arm_housekeeping() {
    housekeeping_.expires_after(housekeeping_period);
    housekeeping_.async_wait([this](asio::error_code error) {
      if (error) {
        return;
      }
      keep_house();
      arm_housekeeping();
    });
  }

  void keep_house() {
    const auto now = support::monotonic_now();
    registry_->check_heartbeat(now);
    if (!stop_deadline_) {
      return;
    }
    const auto in_flight = board_.calls_in_flight.load(std::memory_order_acquire);
    if (in_flight != reported_in_flight_) {
      reported_in_flight_ = in_flight;
      control_->handle(control::in_flight_reported{in_flight});
    }
    if (now >= *stop_deadline_) {
      support::write_log(log_level::warning, "daemon",
                         "stopping with " + std::to_string(in_flight) + " calls in flight");
      control_context_.stop();
    }
  }

  void on_ready_to_exit() {
    listener_->stop_accepting();
    for (std::size_t index = 0; index < servers_.size(); ++index) {
      asio::post(threads_[index]->context, [server = servers_[index].get()] { server->close(); });
    }
    wait_for_last_calls();
  }

  // Requests that were on their way when the listeners closed are still answered.
  void wait_for_last_calls() {
    close_timer_.expires_after(close_grace);
    close_timer_.async_wait([this](asio::error_code error) {
      if (error) {
        return;
      }
      if (board_.calls_in_flight.load(std::memory_order_acquire) == 0) {
        control_context_.stop();
        return;
      }
      wait_for_last_calls();
    });
  }

  std::vector<asio::io_context*> request_contexts() {
    std::vector<asio::io_context*> contexts;
    for (auto& thread : threads_) {
      contexts.push_back(&thread->context);
    }
    return contexts;
  }

  std::vector<request_thread*> thread_pointers() {
    std::vector<request_thread*> pointers;
    for (auto& thread : threads_) {
      pointers.push_back(thread.get());
    }
    return pointers;
  }

  using peer_call_table = std::map<net::call_key, std::uint64_t>;

  static thread_local std::size_t current_thread_index;

  daemon_settings settings_;
  net::peer_settings peer_settings_;
  board::call_board board_;
  call_metrics metrics_;
  std::vector<std::unique_ptr<request_thread>> threads_;
  asio::io_context control_context_;
  asio::signal_set signals_;
  asio::steady_timer housekeeping_;
  asio::steady_timer close_timer_;
  std::string call_address_;
  std::vector<peer_call_table> peer_calls_;
  std::unique_ptr<net::peer_listener> listener_;
  std::unique_ptr<net::peer_pool> peers_;
  std::unique_ptr<claim_loop> claims_;
  key_claims claim_operations_;
  std::unique_ptr<upstream_calls> upstream_;
  std::unique_ptr<entry_calls> entry_;
  std::shared_ptr<net::gossip_socket> gossip_;
  std::unique_ptr<control_loop> control_;
  std::unique_ptr<backend_registry> registry_;
  admin_environment admin_;
  std::vector<std::unique_ptr<net::http_server>> servers_;
  // Declared after all that its answers reach, so that it is destroyed first.
  std::unique_ptr<net::platform_client> platform_;
  std::optional<support::time_point> stop_deadline_;
  std::optional<std::uint64_t> reported_in_flight_;
};

thread_local std::size_t daemon_process::implementation::current_thread_index = 0;

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

#include "acaciasill/daemon/call_plane.h"

#include <algorithm>
#include <random>
#include <utility>

#include <asio/post.hpp>

#include "acaciasill/board/call_board.h"
#include "acaciasill/daemon/entry_calls.h"
#include "acaciasill/daemon/request_thread.h"
#include "acaciasill/daemon/upstream_calls.h"
#include "acaciasill/support/log.h"
#include "acaciasill/support/result_code.h"

#include "permit_messages.h"
#include "permit_service.h"

namespace acaciasill::daemon {
namespace {

// Maximum number of connections to the local backend server if it does not report one.
constexpr std::size_t default_backend_connections = 750;
constexpr std::size_t secret_bytes = 32;

std::string random_secret() {
  std::random_device device;
  std::string secret;
  while (secret.size() < secret_bytes) {
    secret.push_back(static_cast<char>(device()));
  }
  return secret;
}

} // namespace

thread_local std::size_t call_plane::current_thread_index = 0;

std::uint64_t unanswered_calls(const board::call_board& board, const call_plane& plane) {
  // In this order, since an answer is counted as unwritten before its call ends.
  const auto in_flight = board.calls_in_flight.load(std::memory_order_acquire);
  return in_flight + plane.unwritten_answers();
}

std::uint64_t random_seed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

call_plane::call_plane(const call_plane_settings& settings, edge_protocol protocol,
                       board::call_board& board, call_metrics& metrics)
    : settings_(settings), protocol_(std::move(protocol)), board_(board), metrics_(metrics) {
  const std::string secret = random_secret();
  for (std::size_t index = 0; index < settings.threads; ++index) {
    threads_.push_back(std::make_unique<request_thread>(index, random_seed(), secret));
  }
}

call_plane::~call_plane() {
  stop_threads();
  if (peers_) {
    peers_->stop();
  }
}

absl::Status call_plane::open() {
  const auto address = net::parse_peer_address(settings_.peer_listen);
  if (!address.ok()) {
    return address.status();
  }
  auto listener = net::peer_listener::listen(
      contexts(), *address, settings_.peers,
      {[this](const net::call_key& key, wire::call_request request, net::call_responder respond) {
         on_peer_call(key, std::move(request), std::move(respond));
       },
       [this](const net::call_key& key) { on_peer_cancel(key); }});
  if (!listener.ok()) {
    return listener.status();
  }
  listener_ = *std::move(listener);
  const auto bound = listener_->address();
  call_address_ = bound.address().to_string() + ":" + std::to_string(bound.port());
  peers_ = std::make_unique<net::peer_pool>(contexts(), settings_.peers);
  support::write_log(support::log_level::info, "peers", "listening on " + call_address_);
  return absl::OkStatus();
}

void call_plane::make_call_path(key_claims* claims, backend_observer observer) {
  const auto connections = std::max<std::size_t>(1, default_backend_connections / threads_.size());
  for (auto& thread : threads_) {
    thread->backend = std::make_unique<net::http_client>(
        thread->context, connections, settings_.max_body_bytes, settings_.max_buffered_bytes);
  }
  peer_calls_.resize(threads_.size());
  upstream_ = std::make_unique<upstream_calls>(upstream_environment{
      &board_, threads(), &metrics_, claims, settings_.mode, &protocol_, std::move(observer)});
  permits_ = make_permit_service(board_, *peers_, threads_.size(), call_address_);
  entry_ = std::make_unique<entry_calls>(
      entry_environment{&board_, threads(), &metrics_, peers_.get(), upstream_.get(),
                        settings_.mode, call_address_, &protocol_, permits_.get()});
  upstream_->start();
}

absl::Status call_plane::serve_http(
    net::http_server_settings settings,
    const std::function<net::http_server_callbacks(request_thread&)>& callbacks) {
  const auto port = net::check_port_available(settings.address, settings.port);
  if (!port.ok()) {
    return port.status();
  }
  settings.port = *port;
  settings.share_port = threads_.size() > 1;
  for (auto& thread : threads_) {
    auto server = std::make_unique<net::http_server>(thread->context, settings, callbacks(*thread));
    if (auto status = server->open(); !status.ok()) {
      return status;
    }
    servers_.push_back(std::move(server));
  }
  support::write_log(support::log_level::info, "http",
                     "listening on " + settings.address + ":" + std::to_string(settings.port));
  return absl::OkStatus();
}

void call_plane::start_threads() {
  for (auto& thread : threads_) {
    thread->thread = std::thread([&home = *thread] {
      const board::rcu_reader_thread registration;
      current_thread_index = home.index;
      home.context.run();
    });
  }
}

void call_plane::stop_threads() {
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

void call_plane::stop_accepting() {
  listener_->stop_accepting();
  for (const auto& server : servers_) {
    server->close();
  }
}

void call_plane::for_each_server(const std::function<void(net::http_server&)>& function) {
  for (std::size_t index = 0; index < servers_.size(); ++index) {
    asio::post(threads_[index]->context,
               [server = servers_[index].get(), function] { function(*server); });
  }
}

std::size_t call_plane::unwritten_answers() const {
  std::size_t count = listener_->counters().writing.load(std::memory_order_relaxed);
  for (const auto& server : servers_) {
    count += server->writing_connections();
  }
  return count;
}

std::vector<request_thread*> call_plane::threads() {
  std::vector<request_thread*> pointers;
  pointers.reserve(threads_.size());
  for (auto& thread : threads_) {
    pointers.push_back(thread.get());
  }
  return pointers;
}

std::vector<asio::io_context*> call_plane::contexts() {
  std::vector<asio::io_context*> contexts;
  contexts.reserve(threads_.size());
  for (auto& thread : threads_) {
    contexts.push_back(&thread->context);
  }
  return contexts;
}

// Returns the request thread on which the caller runs.
request_thread& call_plane::this_thread() {
  return *threads_[current_thread_index];
}

void call_plane::on_peer_call(const net::call_key& key, wire::call_request request,
                              net::call_responder respond) {
  auto& home = this_thread();
  board_.last_peer_contact.store(support::monotonic_now().time_since_epoch().count(),
                                 std::memory_order_relaxed);
  if (is_permit_message(request)) {
    serve_permit_message(*permits_, home.index, request, respond);
    return;
  }
  auto& calls = peer_calls_[home.index];
  // The reply may be delivered before serve returns; the call is then not recorded.
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

void call_plane::on_peer_cancel(const net::call_key& key) {
  auto& home = this_thread();
  auto& calls = peer_calls_[home.index];
  if (const auto found = calls.find(key); found != calls.end()) {
    upstream_->cancel(home, found->second);
  }
}

} // namespace acaciasill::daemon

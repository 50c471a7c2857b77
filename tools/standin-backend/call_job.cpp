#include "call_job.h"

#include <algorithm>
#include <cmath>
#include <random>

#include <asio/post.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "acaciasill/net/load_answer.h"
#include "acaciasill/support/hash.h"
#include "acaciasill/support/random.h"

namespace acaciasill::standin {
namespace {

using support::duration;

constexpr support::milliseconds default_child_timeout{5000};
constexpr long status_ok = 200;
constexpr long status_too_many = 429;
constexpr long status_unavailable = 503;

// Returns a per-thread random source. The thread number is part of its seed, so that threads draw
// different numbers.
support::random_source& thread_random(std::uint64_t seed) {
  static std::atomic<std::uint64_t> threads{0};
  thread_local support::random_source source(seed + 1000003 * threads.fetch_add(1));
  return source;
}

duration from_ms(double milliseconds) {
  constexpr double nanoseconds_per_ms = 1e6;
  return duration(static_cast<std::int64_t>(milliseconds * nanoseconds_per_ms));
}

bool is_idempotent(const std::string& method) {
  return method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE";
}

void record_arrival_after_leave(server_context& context) {
  const auto left_at = context.left_at.load(std::memory_order_relaxed);
  if (left_at == 0) {
    return;
  }
  context.calls_after_leave.fetch_add(1);
  context.last_call_after_leave = support::monotonic_now().time_since_epoch().count() - left_at;
}

} // namespace

call_info read_call_info(const restinio::request_t& request) {
  call_info info;
  request.header().for_each_field([&info](const restinio::http_header_field_t& field) {
    const auto name = absl::AsciiStrToLower(field.name());
    if (name == "idempotency-key") {
      info.idempotency_key = field.value();
    }
    if (name == "x-request-id") {
      info.request_id = field.value();
    }
    if (std::int64_t remaining_ms = 0; name == "x-deadline-ms" &&
                                       absl::SimpleAtoi(field.value(), &remaining_ms) &&
                                       remaining_ms >= 0) {
      info.deadline = support::monotonic_now() + support::milliseconds(remaining_ms);
    }
    if (absl::StartsWith(name, "x-") && name != "x-deadline-ms") {
      info.forwarded_headers.push_back(absl::StrCat(name, ": ", field.value()));
    }
  });
  return info;
}

call_job::call_job(server_context& context, restinio::request_handle_t request)
    : context_(context), request_(std::move(request)), info_(read_call_info(*request_)),
      timer_(context.io) {}

void call_job::begin() {
  context_.counters.add_attempt(info_.request_id);
  record_arrival_after_leave(context_);
  first_on_connection_ = context_.calls.add(request_->connection_id(), shared_from_this());
  context_.counters.totals().in_flight.fetch_add(1, std::memory_order_relaxed);
  if (context_.faults.refuse) {
    refuse();
    return;
  }
  switch (context_.slots.acquire(shared_from_this())) {
  case acquire_result::granted:
    on_slot_granted();
    return;
  case acquire_result::queued:
    return;
  case acquire_result::refused:
    refuse();
    return;
  }
}

void call_job::on_slot_granted() {
  bool expired = false;
  {
    const std::lock_guard lock(mutex_);
    holds_slot_ = true;
    if (stage_ != stage::waiting) {
      release_slot();
      return;
    }
    expired = is_expired();
    if (!expired) {
      stage_ = stage::working;
      context_.counters.add_run(info_.request_id, info_.idempotency_key);
      start_work(first_on_connection_);
    }
  }
  if (expired) {
    refuse();
  }
}

void call_job::start_work(bool first_on_connection) {
  auto delay = service_time();
  if (first_on_connection) {
    delay += from_ms(context_.config.connection_cost_ms);
  }
  if (delay <= duration::zero()) {
    asio::post(context_.io, [self = shared_from_this()] { self->on_work_done(); });
    return;
  }
  timer_.expires_after(delay);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error) {
      self->on_work_done();
    }
  });
}

duration call_job::service_time() const {
  const auto& config = context_.config;
  double time_ms = config.service_time_ms;
  if (config.distribution == time_distribution::exponential) {
    time_ms *= -std::log(1.0 - support::uniform_unit(thread_random(config.seed)));
  }
  time_ms *= context_.faults.slow_factor;
  if (is_cold(context_)) {
    time_ms *= config.cold_factor;
  }
  if (config.on_overload == overload_behaviour::collapse) {
    const double load = static_cast<double>(context_.slots.in_use()) / config.slots;
    time_ms *= std::max(1.0, load * load);
  }
  return from_ms(time_ms);
}

void call_job::on_work_done() {
  {
    const std::lock_guard lock(mutex_);
    if (stage_ != stage::working) {
      return;
    }
    stage_ = stage::calling;
    if (!context_.config.calls.empty() && !context_.config.hold_slot) {
      release_slot();
    }
  }
  if (context_.config.calls.empty()) {
    send_answer();
    return;
  }
  submit_children();
}

void call_job::submit_children() {
  const std::lock_guard lock(mutex_);
  if (stage_ != stage::calling) {
    return;
  }
  for (const auto& child : context_.config.calls) {
    pending_children_ += child.count;
  }
  std::uint32_t number = 0;
  for (const auto& child : context_.config.calls) {
    for (std::uint32_t index = 0; index < child.count; ++index) {
      auto request = child_request(child, number++);
      const auto body_hash = support::hash64(request.body);
      auto on_reply = [self = shared_from_this(), &child, body_hash](const client_reply& reply) {
        self->on_child_reply(child, body_hash, reply);
      };
      child_tickets_.push_back(context_.client.submit(std::move(request), std::move(on_reply)));
    }
  }
}

client_request call_job::child_request(const child_call& child, std::uint32_t number) const {
  client_request request;
  request.method = child.method;
  request.url = absl::StrCat(context_.config.daemon, "/svc/", child.service, child.path);
  request.headers = info_.forwarded_headers;
  request.body.assign(child.body_bytes, 'b');
  request.timeout = default_child_timeout;
  if (info_.deadline) {
    const auto remaining_ms = std::max<std::int64_t>(
        1, support::whole_milliseconds(*info_.deadline - support::monotonic_now()));
    request.headers.push_back(absl::StrCat("x-deadline-ms: ", remaining_ms));
    request.timeout = support::milliseconds(remaining_ms);
  }
  if (!is_idempotent(child.method)) {
    const auto& parent = info_.idempotency_key.empty() ? info_.request_id : info_.idempotency_key;
    request.headers.push_back(
        absl::StrCat("idempotency-key: ", parent, ".", child.service, ".", number));
  }
  return request;
}

void call_job::on_child_reply(const child_call& child, std::uint64_t body_hash,
                              const client_reply& reply) {
  bool succeeded = reply.status == status_ok;
  if (succeeded &&
      net::check_answer(reply.body, info_.request_id, body_hash) != net::answer_check::intact) {
    context_.counters.totals().foreign_answers.fetch_add(1);
    succeeded = false;
  }
  std::vector<std::uint64_t> to_cancel;
  {
    const std::lock_guard lock(mutex_);
    --pending_children_;
    if (stage_ != stage::calling) {
      return;
    }
    if (!succeeded) {
      context_.counters.totals().child_failures.fetch_add(1);
    }
    if (!succeeded && child.required) {
      child_failure_status_ = reply.status == 0 ? status_unavailable : reply.status;
      to_cancel.swap(child_tickets_);
    }
    if (pending_children_ > 0 && to_cancel.empty()) {
      return;
    }
  }
  for (const auto ticket : to_cancel) {
    context_.client.cancel(ticket);
  }
  asio::post(context_.io, [self = shared_from_this()] { self->send_answer(); });
}

void call_job::send_answer() {
  auto& totals = context_.counters.totals();
  if (child_failure_status_ != 0) {
    totals.failed.fetch_add(1, std::memory_order_relaxed);
    const bool overloaded =
        child_failure_status_ == status_unavailable || child_failure_status_ == status_too_many;
    respond(overloaded ? restinio::status_service_unavailable() : restinio::status_bad_gateway(),
            absl::StrCat("required child call ended with status ", child_failure_status_, "\n"),
            false);
    return;
  }
  if (const double ratio = context_.faults.fail_ratio;
      ratio > 0.0 && support::uniform_unit(thread_random(context_.config.seed)) < ratio) {
    totals.failed.fetch_add(1, std::memory_order_relaxed);
    respond(restinio::status_internal_server_error(), "injected failure\n", false);
    return;
  }
  totals.completed.fetch_add(1, std::memory_order_relaxed);
  const net::load_answer fields{info_.request_id, context_.config.service,
                                support::hash64(request_->body())};
  respond(restinio::status_ok(), net::format_answer(fields, context_.config.answer_bytes), false);
}

void call_job::refuse() {
  context_.counters.totals().not_started.fetch_add(1, std::memory_order_relaxed);
  respond(restinio::status_service_unavailable(), "not started\n", true);
}

void call_job::respond(restinio::http_status_line_t status, std::string body, bool not_started) {
  if (!try_finish()) {
    return;
  }
  context_.calls.remove(request_->connection_id(), this);
  auto response = request_->create_response(std::move(status));
  response.append_header("content-type", "text/plain");
  if (not_started) {
    response.append_header("x-not-started", "true");
  }
  response.set_body(std::move(body));
  response.done();
}

bool call_job::try_finish() {
  const std::lock_guard lock(mutex_);
  if (stage_ == stage::done) {
    return false;
  }
  stage_ = stage::done;
  context_.counters.totals().in_flight.fetch_sub(1, std::memory_order_relaxed);
  release_slot();
  return true;
}

// Requires mutex_ to be held.
void call_job::release_slot() {
  if (!holds_slot_) {
    return;
  }
  holds_slot_ = false;
  if (auto next = context_.slots.release()) {
    asio::post(context_.io, [next] { next->on_slot_granted(); });
  }
}

bool call_job::is_expired() const {
  return info_.deadline && support::monotonic_now() >= *info_.deadline;
}

void call_job::cancel() {
  context_.slots.remove_waiter(this);
  if (!try_finish()) {
    return;
  }
  context_.counters.totals().cancelled.fetch_add(1, std::memory_order_relaxed);
  std::vector<std::uint64_t> to_cancel;
  {
    const std::lock_guard lock(mutex_);
    to_cancel.swap(child_tickets_);
  }
  for (const auto ticket : to_cancel) {
    context_.client.cancel(ticket);
  }
  timer_.cancel();
}

} // namespace acaciasill::standin

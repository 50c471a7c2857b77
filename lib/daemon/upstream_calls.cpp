#include "acaciasill/daemon/upstream_calls.h"

#include <algorithm>
#include <cassert>
#include <unordered_map>
#include <utility>

#include <asio/post.hpp>

#include "crash_monitor.h"
#include "running_call.h"
#include "upstream_queue.h"

#include "acaciasill/board/call_board.h"
#include "acaciasill/daemon/call_metrics.h"
#include "acaciasill/daemon/edge_protocol.h"
#include "acaciasill/daemon/key_claims.h"
#include "acaciasill/daemon/request_thread.h"
#include "acaciasill/support/log.h"

namespace acaciasill::daemon {
namespace {

using support::result_code;

// Maximum rate of log lines about individual calls, per process.
constexpr std::uint32_t call_log_lines_per_second = 10;
// Maximum rate of log lines about the rate that the backend server states.
constexpr std::uint32_t rate_log_lines_per_second = 2;

using call_table = std::unordered_map<std::uint64_t, std::shared_ptr<running_call>>;

claim_request make_claim_request(const running_call& call) {
  return {call.request.organisation, call.request.idempotency_key, call.facts.deadline};
}

} // namespace

struct upstream_calls::implementation {
  explicit implementation(upstream_environment environment)
      : environment_(std::move(environment)), board_(*environment_.board),
        calls_(environment_.threads.size()), last_ids_(environment_.threads.size()),
        queue_(*environment_.board, *environment_.threads.front(),
               {[this](queue_handle handle) { run_queued(handle); },
                [this](queue_handle handle, result_code code) { drop_queued(handle, code); }}) {}

  bool protects() const { return environment_.mode == operating_mode::protect; }

  std::uint64_t serve(request_thread& home, wire::call_request request, upstream_reply reply) {
    board::record_peer_generation(board_.generations, request.generation);
    if (request.stated_rate && decide::record_relayed_rate(board_.gate.rate, *request.stated_rate,
                                                           support::monotonic_now())) {
      log_rate_change("caller");
    }
    auto call = std::make_shared<running_call>();
    call->id = ++last_ids_[home.index];
    call->arrived = support::monotonic_now();
    call->facts = make_facts(request, call->arrived);
    call->request = std::move(request);
    call->reply = std::move(reply);
    board_.calls_in_flight.fetch_add(1, std::memory_order_relaxed);
    calls_[home.index].emplace(call->id, call);
    admit(home, *call);
    return call->id;
  }

  decide::request_facts make_facts(const wire::call_request& request, support::time_point now) {
    decide::request_facts facts;
    facts.id = request.id;
    facts.level = decide::make_level(request.rank, request.holds_finished_work, facts.id);
    facts.deadline = now + support::microseconds(request.time_left_us);
    facts.holds_finished_work = request.holds_finished_work;
    facts.kind = request.kind;
    const board::rcu_read_guard guard;
    const auto& view = board_.configuration.read(guard);
    const auto organisation = view.snapshot.find_organisation(request.organisation);
    // Organisations that this daemon does not know yet share the last slot.
    facts.organisation =
        organisation ? view.organisation_slots[*organisation] : board::organisation_capacity - 1;
    return facts;
  }

  // Returns the reason why the local backend server cannot serve the call, or ok if it can.
  result_code check_backend(const wire::call_request& request) {
    const board::rcu_read_guard guard;
    const auto& target = board_.backend.read(guard);
    if (!target.present) {
      // The departure or loss of the server has not reached the caller yet.
      return result_code::draining;
    }
    if (target.service != request.service) {
      return result_code::no_upstream;
    }
    if (is_refused_for_crashes(board_, request)) {
      return result_code::crashes_servers;
    }
    return result_code::ok;
  }

  // Reports an exchange that ended without an answer, or that clears a suspected request.
  void observe_content(const wire::call_request& request, net::exchange_end end) {
    if (end == net::exchange_end::broken) {
      environment_.observer.on_unanswered(hash_content(request));
      return;
    }
    if (end != net::exchange_end::answered) {
      return;
    }
    const board::rcu_read_guard guard;
    const auto& suspected = board_.crashes.read(guard).suspected;
    if (suspected.empty()) {
      return;
    }
    if (const auto content = hash_content(request); decide::is_listed(suspected, content)) {
      environment_.observer.on_suspect_answered(content);
    }
  }

  // Returns the time after which the caller of a call that the server cannot serve should retry, in
  // milliseconds; 0 for the default.
  static std::uint32_t retry_after_ms(result_code code) {
    return code == result_code::crashes_servers ? decide::crash_retry_after_ms : 0;
  }

  void admit(request_thread& home, running_call& call) {
    if (const auto code = check_backend(call.request); code != result_code::ok) {
      refuse(home, call, code, retry_after_ms(code));
      return;
    }
    if (!protects()) {
      if (board_.leaving.load(std::memory_order_acquire)) {
        refuse(home, call, result_code::draining, 0);
        return;
      }
      start(home, call);
      return;
    }
    const auto decision = decide_admission(home, call);
    switch (decision.action) {
    case decide::admission::run:
      start(home, call);
      return;
    case decide::admission::wait:
      queue_.add({home.index, call.id}, call.facts);
      return;
    case decide::admission::refuse:
      refuse(home, call, decision.code, decision.retry_after_ms);
      return;
    }
  }

  decide::admit_decision decide_admission(request_thread& home, const running_call& call) {
    const board::rcu_read_guard guard;
    return decide::admit(board_.gate, board_.admission.read(guard), call.facts, call.arrived,
                         home.random);
  }

  // Starts a queued call that has been assigned a slot. Runs on the queue's thread.
  void run_queued(queue_handle handle) {
    auto& home = *environment_.threads[handle.thread];
    asio::post(home.context, [this, &home, handle] {
      const auto found = calls_[home.index].find(handle.call);
      if (found == calls_[home.index].end()) {
        // The call was cancelled before it could take over the slot; the queue has recorded its
        // organisation.
        queue_.release_cancelled(handle);
        return;
      }
      queue_.slot_taken(handle);
      start(home, *found->second);
    });
  }

  // Refuses a call that the queue has dropped. Runs on the queue's thread.
  void drop_queued(queue_handle handle, result_code code) {
    auto& home = *environment_.threads[handle.thread];
    asio::post(home.context, [this, &home, handle, code] {
      const auto found = calls_[home.index].find(handle.call);
      if (found == calls_[home.index].end()) {
        return;
      }
      auto& call = *found->second;
      const board::rcu_read_guard guard;
      const auto decision =
          decide::refuse(board_.gate, board_.admission.read(guard), call.facts, code, home.random);
      refuse(home, call, decision.code, decision.retry_after_ms);
    });
  }

  // Runs a call that holds a slot, unless its deadline has passed, the backend server no longer
  // serves it, or its key cannot be claimed.
  void start(request_thread& home, running_call& call) {
    if (support::monotonic_now() >= call.facts.deadline) {
      release_unused_slot(call);
      refuse(home, call, result_code::deadline_exceeded, 0);
      return;
    }
    // The backend server may have started to leave, or been replaced, since the call arrived.
    if (const auto code = check_backend(call.request); code != result_code::ok) {
      release_unused_slot(call);
      refuse(home, call, code, retry_after_ms(code));
      return;
    }
    if (call.request.idempotent || call.request.idempotency_key.empty()) {
      run(home, call);
      return;
    }
    if (environment_.claims == nullptr) {
      // Without a platform it is impossible to tell whether the key was used elsewhere.
      release_unused_slot(call);
      refuse(home, call, result_code::claim_unavailable, 0);
      return;
    }
    call.stage = call_stage::claiming;
    environment_.claims->claim(
        make_claim_request(call), [this, &home, id = call.id](claim_decision decision) {
          asio::post(home.context, [this, &home, id, decision] { on_claim(home, id, decision); });
        });
  }

  void on_claim(request_thread& home, std::uint64_t id, const claim_decision& decision) {
    const auto found = calls_[home.index].find(id);
    assert(found != calls_[home.index].end() && "call with a pending claim must stay in the table");
    auto& call = *found->second;
    if (!decision.may_run) {
      release_unused_slot(call);
      auto reply = make_refusal(call, decision.code, 0);
      reply.outcome = decision.outcome;
      finish(home, call, std::move(reply));
      return;
    }
    // The process may have been paused since the claim was granted, so its expiry is checked again.
    const auto now = support::monotonic_now();
    if (now >= decision.valid_until || now >= call.facts.deadline) {
      release_unused_slot(call);
      environment_.claims->settle({decision.claim, wire::outcome::not_run});
      refuse(home, call, result_code::deadline_exceeded, 0);
      return;
    }
    call.claim = decision.claim;
    run(home, call);
  }

  void run(request_thread& home, running_call& call) {
    call.stage = call_stage::running;
    call.started = support::monotonic_now();
    board_.calls_started.fetch_add(1, std::memory_order_relaxed);
    environment_.metrics->observe(home.index, call.facts.organisation, call.request.rank,
                                  time_kind::queueing, call.started - call.arrived);
    call.parent = decide::open_parent(board_.parents, call.facts.id,
                                      {call.request.lent_attempts, call.request.holds_finished_work,
                                       call.request.rank, call.facts.deadline, call.started,
                                       model::hash_organisation(call.request.organisation)});
    if (!call.parent) {
      record_unknown_work(call);
    }
    auto request = make_exchange(home, call);
    call.exchange = home.backend->send(std::move(request),
                                       [this, &home, id = call.id](net::client_response response) {
                                         on_response(home, id, std::move(response));
                                       });
  }

  // Records that the backend server may work on a call that this daemon does not know.
  void record_unknown_work(const running_call& call) {
    const auto until = call.facts.deadline.time_since_epoch().count();
    auto before = board_.unknown_work_until.load(std::memory_order_relaxed);
    while (before < until && !board_.unknown_work_until.compare_exchange_weak(before, until)) {
    }
  }

  net::client_request make_exchange(request_thread& home, running_call& call) {
    const board::rcu_read_guard guard;
    const auto& target = board_.backend.read(guard);
    call.instance = target.instance;
    call.instance_start_ms = target.instance_start_ms;
    return environment_.protocol->make_backend_request(board_.configuration.read(guard), target,
                                                       call.request, home, call.facts.deadline,
                                                       call.started);
  }

  void on_response(request_thread& home, std::uint64_t id, net::client_response response) {
    const auto found = calls_[home.index].find(id);
    assert(found != calls_[home.index].end() &&
           "running call must stay in the table until its exchange ends");
    auto& call = *found->second;
    environment_.observer.on_exchange(response.end != net::exchange_end::not_sent);
    observe_content(call.request, response.end);
    if (response.end != net::exchange_end::answered &&
        response.end != net::exchange_end::not_sent) {
      record_unknown_work(call);
    }
    auto reply = environment_.protocol->interpret_response(call.request, std::move(response));
    if (reply.stated_rate && decide::record_stated_rate(board_.gate.rate, *reply.stated_rate,
                                                        support::monotonic_now())) {
      log_rate_change("answer");
    }
    if (reply.backend_leaving && !call.instance.empty()) {
      environment_.observer.on_leaving(call.instance, call.instance_start_ms);
    }
    if (call.parent) {
      const auto summary =
          decide::close_parent(board_.parents, *call.parent, call.request.lent_attempts);
      reply.unused_attempts = summary.unused_attempts;
      reply.spent_attempts = summary.spent_attempts;
      reply.threshold = summary.threshold;
      reply.overloaded_below = summary.overloaded_below;
    }
    release_slot(call, reply);
    if (call.claim) {
      environment_.claims->settle({*call.claim, reply.outcome});
    }
    finish(home, call, std::move(reply));
  }

  // Logs a change of the rate limit in force.
  void log_rate_change(std::string_view source) {
    std::uint32_t dropped = 0;
    if (rate_log_budget_.allow(support::monotonic_now(), dropped)) {
      support::write_event(
          support::log_level::info, "upstream", "rate limit of the backend server changes",
          {{"calls_per_s", std::to_string(decide::rate_in_force(board_.gate.rate))},
           {"source", std::string(source)},
           {"calls_started", std::to_string(board_.calls_started.load(std::memory_order_relaxed))},
           {"lines_dropped_before", std::to_string(dropped)}});
    }
  }

  void release_slot(const running_call& call, const wire::call_reply& reply) {
    if (reply.code == result_code::backend_shed) {
      board_.backend_sheds.fetch_add(1, std::memory_order_relaxed);
    }
    if (!protects()) {
      return;
    }
    if (reply.outcome == wire::outcome::completed || reply.outcome == wire::outcome::failed) {
      decide::on_finish(board_.gate, call.facts.organisation,
                        support::monotonic_now() - call.started, call.facts.kind);
    } else {
      decide::on_cancel(board_.gate, call.facts.organisation);
    }
    queue_.slot_released(call.facts.organisation);
  }

  void release_unused_slot(const running_call& call) {
    if (protects()) {
      decide::on_cancel(board_.gate, call.facts.organisation);
      queue_.slot_released(call.facts.organisation);
    }
  }

  // Answers a call that has not run.
  void refuse(request_thread& home, running_call& call, result_code code,
              std::uint32_t retry_after_ms) {
    finish(home, call, make_refusal(call, code, retry_after_ms));
  }

  static wire::call_reply make_refusal(const running_call& call, result_code code,
                                       std::uint32_t retry_after_ms) {
    wire::call_reply reply;
    reply.outcome = wire::outcome::not_run;
    reply.code = code;
    reply.http_status = support::describe(code).http_status;
    reply.unused_attempts = call.request.lent_attempts;
    reply.threshold = decide::accept_all;
    reply.retry_after_ms = retry_after_ms;
    return reply;
  }

  void finish(request_thread& home, running_call& call, wire::call_reply reply) {
    reply.id = call.request.id;
    reply.generation = board_.generations.in_force.load(std::memory_order_relaxed);
    add_load_report(reply, call);
    call.stage = call_stage::ended;
    record(home, call, reply);
    const auto respond = std::move(call.reply);
    calls_[home.index].erase(call.id);
    respond(std::move(reply));
    // A stopping process may end as soon as no call is in flight, so the reply counts by then.
    board_.calls_in_flight.fetch_sub(1, std::memory_order_release);
  }

  void add_load_report(wire::call_reply& reply, const running_call& call) {
    if (!protects()) {
      reply.threshold = decide::accept_all;
      return;
    }
    reply.threshold = std::min(reply.threshold, decide::reply_threshold(board_.gate, call.facts));
    reply.in_flight = board_.gate.in_flight.load(std::memory_order_relaxed);
    reply.queued = board_.gate.waiting.load(std::memory_order_relaxed);
    reply.limit = decide::usable_slots(board_.gate);
    reply.service_time_us =
        static_cast<std::uint32_t>(std::chrono::duration_cast<support::microseconds>(
                                       decide::expected_service_time(board_.gate, call.facts.kind))
                                       .count());
  }

  void record(request_thread& home, const running_call& call, const wire::call_reply& reply) {
    if (reply.outcome == wire::outcome::completed && !is_sampled(call.request.id)) {
      return;
    }
    const auto now = support::monotonic_now();
    const bool started = call.started != support::time_point{};
    if (std::uint32_t dropped = 0; call_log_budget_.allow(now, dropped)) {
      log_call_end(call, reply, board_.gate, now, dropped);
    }
    trace_record record;
    record.id = call.request.id;
    record.role = trace_role::upstream;
    record.service = call.request.service;
    record.organisation = call.request.organisation;
    record.rank = call.request.rank;
    record.depth = call.request.depth;
    record.level = call.facts.level;
    record.threshold = reply.threshold;
    record.queue_us = microseconds_between(call.arrived, started ? call.started : now);
    record.total_us = microseconds_between(call.arrived, now);
    record.outcome = reply.outcome;
    record.code = reply.code;
    home.traces.add(std::move(record));
  }

  void cancel(request_thread& home, std::uint64_t id) {
    const auto found = calls_[home.index].find(id);
    if (found == calls_[home.index].end()) {
      return;
    }
    auto& call = *found->second;
    switch (call.stage) {
    case call_stage::waiting:
      queue_.remove({home.index, id});
      refuse(home, call, result_code::cancelled, 0);
      return;
    case call_stage::claiming:
      // The claim decision is still pending. With its deadline in the past, the call ends when the
      // decision arrives.
      call.facts.deadline = support::monotonic_now();
      return;
    case call_stage::running:
      home.backend->cancel(call.exchange);
      return;
    case call_stage::ended:
      return;
    }
  }

  upstream_environment environment_;
  board::call_board& board_;
  std::vector<call_table> calls_;
  // Last call id assigned on each thread.
  std::vector<std::uint64_t> last_ids_;
  upstream_queue queue_;
  support::log_rate_limiter call_log_budget_{call_log_lines_per_second};
  support::log_rate_limiter rate_log_budget_{rate_log_lines_per_second};
};

upstream_calls::upstream_calls(upstream_environment environment)
    : implementation_(std::make_unique<implementation>(std::move(environment))) {}

upstream_calls::~upstream_calls() = default;

void upstream_calls::start() {
  if (implementation_->protects()) {
    implementation_->queue_.start();
  }
}

std::uint64_t upstream_calls::serve(request_thread& home, wire::call_request request,
                                    upstream_reply reply) {
  return implementation_->serve(home, std::move(request), std::move(reply));
}

void upstream_calls::cancel(request_thread& home, std::uint64_t call) {
  implementation_->cancel(home, call);
}

void upstream_calls::backend_announced(bool cold) {
  decide::reset_rate(implementation_->board_.gate.rate);
  implementation_->queue_.backend_announced(cold);
}

void upstream_calls::refuse_queued_calls() {
  implementation_->queue_.drop_all(result_code::draining);
}

} // namespace acaciasill::daemon

#include "acaciasill/daemon/entry_calls.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include <asio/post.hpp>

#include "acaciasill/daemon/entry_request.h"
#include "crash_monitor.h"
#include "entry_answer.h"
#include "entry_call.h"
#include "permit_service.h"

#include "acaciasill/board/call_board.h"
#include "acaciasill/daemon/call_metrics.h"
#include "acaciasill/daemon/edge_protocol.h"
#include "acaciasill/daemon/request_thread.h"
#include "acaciasill/daemon/upstream_calls.h"
#include "acaciasill/decide/request_path.h"
#include "acaciasill/net/call_headers.h"
#include "acaciasill/net/http_text.h"
#include "acaciasill/net/peer_pool.h"
#include "acaciasill/support/log.h"

namespace acaciasill::daemon {
namespace {

using support::result_code;

// An attempt of an idempotent call times out after this multiple of the expected service time, but
// not before the minimum timeout.
constexpr int attempt_timeout_factor = 10;
constexpr support::milliseconds min_attempt_timeout{300};

// Maximum rate of log lines about individual calls, per process.
constexpr std::uint32_t call_log_lines_per_second = 20;
// The same for requests that did not become calls. They have a budget of their own, so that callers
// without a key cannot suppress the lines about calls.
constexpr std::uint32_t rejection_log_lines_per_second = 10;
constexpr std::size_t max_logged_id_bytes = 64;

// Whether another run for a call of a backend server may repeat calls that nothing declares.
bool repeats_undeclared_calls(const entry_request& request) {
  return request.from_backend && request.lends_attempts && !request.destination_calls_others;
}

} // namespace

struct entry_calls::implementation {
  explicit implementation(entry_environment environment)
      : environment_(std::move(environment)), board_(*environment_.board),
        threads_(environment_.threads.size()) {}

  bool protects() const { return environment_.mode == operating_mode::protect; }

  void serve(request_thread& home, net::http_request request, net::http_responder respond) {
    const auto now = support::monotonic_now();
    const auto connection = request.connection;
    auto& own_calls = threads_[home.index];
    auto call = std::make_shared<entry_call>(++own_calls.last_id, home);
    if (const auto status = parse_request(*call, request, now); !status.ok()) {
      log_rejected(request, status, now);
      respond(environment_.protocol->answer_error(request, status));
      return;
    }
    call->connection = connection;
    call->respond = std::move(respond);
    call->arrived = now;
    own_calls.calls.emplace(call->id, call);
    own_calls.by_connection.emplace(connection, call->id);
    board_.calls_in_flight.fetch_add(1, std::memory_order_relaxed);
    begin(call, now);
  }

  // Logs a request that was rejected before it became a call. The reason of the status is not
  // logged, since it may repeat what the caller sent.
  void log_rejected(const net::http_request& request, const absl::Status& status,
                    support::time_point now) {
    std::uint32_t dropped = 0;
    if (!rejection_log_budget_.allow(now, dropped)) {
      return;
    }
    const auto* id = net::find_field(request.headers, environment_.protocol->request_id_field);
    support::write_event(support::log_level::info, "call", "rejected",
                         {{"request", id == nullptr ? "" : id->substr(0, max_logged_id_bytes)},
                          {"code", support::format_code(support::code_of(status))},
                          {"configuration", std::to_string(board_.generations.in_force.load())},
                          {"heard", std::to_string(board_.generations.highest_seen.load())},
                          {"lines_dropped_before", std::to_string(dropped)}});
  }

  absl::Status parse_request(entry_call& call, net::http_request& request,
                             support::time_point now) {
    const board::rcu_read_guard guard;
    auto parsed = environment_.protocol->read_request(board_.configuration.read(guard), request,
                                                      call.home, now);
    if (!parsed.ok()) {
      const auto code = support::code_of(parsed.status());
      // A newer configuration may contain the key.
      const bool may_be_outdated = board_.generations.highest_seen.load(std::memory_order_relaxed) >
                                   board_.generations.in_force.load(std::memory_order_relaxed);
      return code == result_code::unauthenticated && may_be_outdated
                 ? support::make_error(result_code::not_ready)
                 : parsed.status();
    }
    call.request = *std::move(parsed);
    return absl::OkStatus();
  }

  void begin(const call_ptr& call, support::time_point now) {
    auto& request = call->request;
    if (request.may_be_backend_call) {
      recognise_backend_call(*call, now);
    }
    const auto& id = request.call.id;
    if (request.from_backend) {
      call->parent = decide::find_parent(board_.parents, id);
    } else if (request.needs_parent) {
      finish(*call, refusal_reply(code_without_parent(now), retry_after(*call)));
      return;
    }
    if (call->parent && request.inherits_organisation) {
      inherit_organisation(*call);
    }
    const bool has_completed_calls =
        call->parent && board_.parents.cells[call->parent->cell].holds_finished_work.load(
                            std::memory_order_relaxed);
    request.call.holds_finished_work = request.call.holds_finished_work || has_completed_calls;
    if (call->parent && request.inherits_rank) {
      request.call.rank =
          board_.parents.cells[call->parent->cell].rank.load(std::memory_order_relaxed);
    }
    if (request.caller_time_left &&
        decide::is_returning(board_.first_attempt_times[request.threshold_subject],
                             *request.caller_time_left, now)) {
      request.call.rank = request.returning_rank;
    }
    call->urgency = decide::urgency_of(request.call.rank, has_completed_calls);
    call->level = decide::make_level(request.call.rank, request.call.holds_finished_work, id);
    call->first_budget = call->parent ? decide::borrow_from_parent(board_.parents, *call->parent)
                                      : request.retry_budget;
    decide::reset_budget(call->budget, call->first_budget);
    if (protects() && !request.from_backend && !admit_at_entry(*call, now)) {
      return;
    }
    if (request.limited) {
      acquire_permit(call);
      return;
    }
    send_first(call, now);
  }

  // Sends the call if its organisation is below its rate limit, else refuses it.
  void acquire_permit(const call_ptr& call) {
    environment_.permits->acquire(
        call->home.index, *call->request.limited, [this, call](const permit_decision& decision) {
          if (call->ended) {
            if (decision.is_granted) {
              environment_.permits->give_back(call->home.index, *call->request.limited);
            }
            return;
          }
          if (!decision.is_granted) {
            decide::record_refused(board_.entry_excess[call->request.organisation_slot]);
            const auto wait = static_cast<std::uint32_t>(decision.wait.count());
            finish(*call, refusal_reply(result_code::rate_exceeded, wait + retry_after(*call)));
            return;
          }
          call->has_permit = true;
          send_first(call, support::monotonic_now());
        });
  }

  void send_first(const call_ptr& call, support::time_point now) {
    const auto& request = call->request;
    decide::earn_retry(board_.retries[request.service_slot], request.retry_ratio, now);
    send(call, now);
  }

  // Returns why a request without a key is refused that no running request explains.
  result_code code_without_parent(support::time_point now) const {
    const bool may_be_call = now.time_since_epoch().count() <
                                 board_.unknown_work_until.load(std::memory_order_relaxed) ||
                             now < started_ + longest_timeout();
    return may_be_call ? result_code::origin_unknown : result_code::unauthenticated;
  }

  support::milliseconds longest_timeout() const {
    const board::rcu_read_guard guard;
    return board_.configuration.read(guard).longest_timeout;
  }

  // Assigns a call of the local backend server to the organisation of the request that makes it.
  void inherit_organisation(entry_call& call) {
    const auto hash =
        board_.parents.cells[call.parent->cell].organisation.load(std::memory_order_relaxed);
    const board::rcu_read_guard guard;
    const auto& view = board_.configuration.read(guard);
    if (const auto organisation = view.snapshot.find_organisation_by_hash(hash)) {
      set_organisation(view, *organisation, call.request);
    }
  }

  // Decides whether the local backend server makes the request, and for which running request.
  void recognise_backend_call(entry_call& call, support::time_point now) {
    auto& request = call.request;
    auto& history = threads_[call.home.index].histories[call.connection];
    auto& evidence = board_.call_evidence[request.threshold_subject - board::service_capacity];
    decide::child_facts child;
    child.deadline = request.caller_time_left ? now + *request.caller_time_left : request.deadline;
    child.previous = history.previous_parent;
    child.expires_with_parent = decide::expires_with_parent(evidence);
    auto likely = decide::find_likely_parent(board_.parents, child);
    if (!likely && request.needs_parent) {
      child.max_siblings = decide::max_children;
      likely = decide::find_likely_parent(board_.parents, child);
    }
    decide::call_sighting sighting;
    sighting.is_explained = likely.has_value();
    sighting.is_on_used_connection = history.answered.has_value();
    sighting.is_immediate =
        history.answered && now - *history.answered < decide::immediate_reuse_time;
    sighting.has_deadline_of_running = likely && likely->has_deadline_of_running;
    sighting.has_shifted_deadline = likely && likely->has_shifted_deadline;
    decide::record_sighting(evidence, sighting);
    const bool is_called_by_backend = request.is_public
                                          ? decide::is_recognised_by_deadlines(evidence)
                                          : decide::is_called_by_backend(evidence);
    std::optional<wire::request_id> parent;
    if (request.stated_parent && decide::find_parent(board_.parents, *request.stated_parent)) {
      parent = request.stated_parent;
    } else if (likely && (request.needs_parent || is_called_by_backend)) {
      parent = likely->id;
      // A guess among requests of several organisations must not decide whose call it is.
      request.inherits_organisation =
          request.inherits_organisation && likely->has_certain_organisation;
    }
    history.previous_parent = parent;
    if (parent) {
      mark_as_backend_call(request, *parent);
    }
  }

  // Rejects duplicate calls and sheds calls that an upstream would shed. Returns false if the call
  // has been answered.
  bool admit_at_entry(entry_call& call, support::time_point now) {
    const auto& request = call.request;
    if (request.collapses_duplicates && !passes_duplicate_check(call)) {
      return false;
    }
    if (decide::shed_at_entry(board_.thresholds, request.threshold_subject,
                              request.organisation_slot, call.level, now)) {
      decide::record_refused(board_.entry_excess[request.organisation_slot]);
      finish(call, refusal_reply(result_code::shed_at_entry, retry_after(call)));
      return false;
    }
    decide::record_admitted(board_.entry_excess[request.organisation_slot]);
    return true;
  }

  // Returns true if no identical call is running. Otherwise answers the call and returns false.
  bool passes_duplicate_check(entry_call& call) {
    const auto& request = call.request;
    const auto ticket = decide::begin_call(
        board_.duplicates,
        decide::fingerprint(request.call.id, request.call.service, request.call.method,
                            request.call.target, request.call.idempotency_key));
    if (ticket.check == decide::duplicate_check::duplicate) {
      // The outcome is still unknown because the identical call is running.
      auto reply = refusal_reply(result_code::duplicate_in_progress, retry_after(call));
      reply.outcome = wire::outcome::unknown;
      finish(call, std::move(reply));
      return false;
    }
    if (ticket.check == decide::duplicate_check::untracked && !request.call.idempotent) {
      finish(call, refusal_reply(result_code::claim_unavailable, retry_after(call)));
      return false;
    }
    if (ticket.check == decide::duplicate_check::first) {
      call.duplicate = ticket;
    }
    return true;
  }

  // Returns the time after which the caller of a refused call should retry, in milliseconds.
  std::uint32_t retry_after(entry_call& call) {
    return decide::retry_after_ms(board_.entry_excess[call.request.organisation_slot],
                                  call.request.call.rank, call.home.random);
  }

  // Starts the next attempt.
  void send(const call_ptr& call, support::time_point now) {
    if (is_refused_for_crashes(board_, call->request.call)) {
      finish(*call, refusal_reply(result_code::crashes_servers, decide::crash_retry_after_ms));
      return;
    }
    if (!select_upstream(*call, now)) {
      finish(*call, refusal_reply(result_code::no_upstream, retry_after(*call)));
      return;
    }
    auto request = call->request.call;
    ++call->attempts;
    const bool lends_attempts = protects() && call->request.lends_attempts;
    call->current.lent_attempts = lends_attempts ? decide::lend_attempts(call->budget) : 0;
    request.lent_attempts = call->current.lent_attempts;
    request.generation = board_.generations.in_force.load(std::memory_order_relaxed);
    const auto rate = call->current.load->stated_rate.load(std::memory_order_relaxed);
    request.stated_rate = std::isfinite(rate) ? std::optional(rate) : std::nullopt;
    decide::begin_attempt(*call->current.load);
    if (call->current.address == environment_.own_call_address) {
      send_to_self(call, std::move(request), now);
      return;
    }
    const auto peer = net::parse_peer_address(call->current.address);
    if (!peer.ok()) {
      on_reply(call, refusal_reply(result_code::peer_unreachable));
      return;
    }
    call->current.remote = environment_.peers->send_call(
        *peer, std::move(request), attempt_deadline(*call, now),
        [this, call](wire::call_reply reply) { on_reply(call, std::move(reply)); });
  }

  // Bounds an attempt of an idempotent call, so that time is left for another upstream if this one
  // does not answer.
  support::time_point attempt_deadline(const entry_call& call, support::time_point now) const {
    const auto deadline = call.request.deadline;
    if (!protects() || !call.request.call.idempotent || !call.request.bounds_attempt_time) {
      return deadline;
    }
    const support::duration expected =
        support::microseconds(call.current.load->service_time_us.load(std::memory_order_relaxed));
    const auto limit =
        std::max<support::duration>(min_attempt_timeout, expected * attempt_timeout_factor);
    return std::min(deadline, now + limit);
  }

  void send_to_self(const call_ptr& call, wire::call_request request, support::time_point now) {
    request.time_left_us = static_cast<std::uint64_t>(std::max<std::int64_t>(
        0,
        std::chrono::duration_cast<support::microseconds>(call->request.deadline - now).count()));
    // The reply may be delivered before serve returns; there is then nothing left to cancel.
    const auto sequence = call->attempts;
    const auto local = environment_.upstream->serve(
        call->home, std::move(request),
        [this, call](wire::call_reply reply) { on_reply(call, std::move(reply)); });
    if (!call->ended && call->attempts == sequence) {
      call->current.local = local;
    }
  }

  bool select_upstream(entry_call& call, support::time_point now) {
    const board::rcu_read_guard guard;
    const auto& view = board_.routing.read(guard);
    const auto slot = call.request.service_slot;
    if (slot >= view.services.size()) {
      return false;
    }
    const auto& routes = view.services[slot];
    call.subset_size = static_cast<std::uint32_t>(routes.route.upstreams.size());
    const auto chosen = protects()
                            ? decide::choose_upstream(routes.route, board_.spills[slot], call.tried,
                                                      now, call.home.random, call.request.call.kind)
                            : select_random_upstream(routes.route, call.home.random);
    if (!chosen) {
      return false;
    }
    const auto& upstream = routes.route.upstreams[*chosen];
    call.current = {};
    call.current.load = upstream.load;
    call.current.address = routes.call_addresses[*chosen];
    call.tried.push_back(upstream.id);
    return true;
  }

  // Selects a random upstream for passthrough mode: a local one if there is any, else a remote one.
  static std::optional<std::uint32_t> select_random_upstream(const decide::route_view& route,
                                                             support::random_source& random) {
    const auto count = route.local_count != 0 ? route.local_count : route.upstreams.size();
    if (count == 0) {
      return std::nullopt;
    }
    return static_cast<std::uint32_t>(support::uniform_below(random, count));
  }

  void on_reply(const call_ptr& call, wire::call_reply reply) {
    board::record_peer_generation(board_.generations, reply.generation);
    if (call->current.remote && !reply_was_lost(reply)) {
      board_.last_peer_contact.store(support::monotonic_now().time_since_epoch().count(),
                                     std::memory_order_relaxed);
    }
    if (call->ended) {
      decide::end_attempt(*call->current.load);
      return;
    }
    const auto now = support::monotonic_now();
    if (call->current.remote && has_malformed_answer(reply)) {
      if (std::uint32_t dropped = 0; call_log_budget_.allow(now, dropped)) {
        log_malformed_answer(*call, reply, dropped);
      }
      discard_answer(reply, call->request.call.idempotent);
    }
    if (reply.code == result_code::deadline_exceeded && call->request.bounds_attempt_time &&
        now < call->request.deadline) {
      // The attempt has timed out before the deadline of the call.
      reply.code = result_code::peer_stalled;
    }
    record_reply(*call, reply, now);
    call->spent += reply.spent_attempts;
    const bool answered = reply.outcome == wire::outcome::completed;
    if (answered || !protects() || !retry(call, reply, now)) {
      finish(*call, std::move(reply));
    }
  }

  void record_reply(entry_call& call, const wire::call_reply& reply, support::time_point now) {
    decide::record_reachability(*call.current.load, upstream_was_reached(reply), now);
    if (reply.stated_rate) {
      call.current.load->stated_rate.store(*reply.stated_rate, std::memory_order_relaxed);
    }
    if (reply.backend_leaving) {
      call.current.load->leaving.store(true, std::memory_order_relaxed);
    }
    if (reply_was_lost(reply)) {
      decide::on_reply(*call.current.load, decide::lost_reply{}, now);
      return;
    }
    decide::reply_facts facts;
    facts.organisation = call.request.organisation_slot;
    facts.threshold = reply.limit != 0 ? reply.threshold : decide::accept_all;
    facts.lent_attempts = call.current.lent_attempts;
    // A call that was not sent has used none of its lent attempts.
    facts.unused_attempts = reply.limit == 0 && reply.outcome == wire::outcome::not_run
                                ? call.current.lent_attempts
                                : reply.unused_attempts;
    facts.load = {reply.in_flight, reply.queued, reply.limit, reply.service_time_us,
                  call.request.call.kind};
    facts.upstream_failed = upstream_failed(reply);
    const std::array<std::uint32_t, 1> subjects{call.request.threshold_subject};
    const std::span<const std::uint32_t> learned = reply.limit != 0
                                                       ? std::span<const std::uint32_t>(subjects)
                                                       : std::span<const std::uint32_t>();
    decide::on_reply(*call.current.load, board_.thresholds, learned, call.budget, facts, now);
  }

  // Starts a retry if the retry rules allow it; returns false if the reply is final.
  bool retry(const call_ptr& call, const wire::call_reply& reply, support::time_point now) {
    decide::failed_attempt failed;
    failed.not_run = reply.outcome == wire::outcome::not_run;
    call->runs += failed.not_run ? 0 : 1;
    if (call->request.max_runs != 0 && call->runs >= call->request.max_runs) {
      return false;
    }
    failed.code = reply.code;
    // A failure of a server that calls others may originate from one of them; the retry is then
    // left to the hop next to the failure.
    const bool may_originate_below =
        reply.outcome == wire::outcome::failed && call->request.destination_calls_others;
    failed.next_to_failure =
        !may_originate_below && (failed.not_run || !repeats_undeclared_calls(call->request));
    failed.overloaded_below = reply.overloaded_below;
    failed.idempotent = call->request.call.idempotent;
    failed.tried = static_cast<std::uint32_t>(call->tried.size());
    failed.subset_size = call->subset_size;
    failed.retries = call->retries;
    failed.urgency = call->urgency;
    failed.deadline = call->request.deadline;
    failed.expected_service_time = support::microseconds(reply.service_time_us);
    const auto decision = decide::may_retry(
        call->budget, board_.retries[call->request.service_slot], failed, now, call->home.random);
    if (!decision.retry) {
      return false;
    }
    if (decision.uses_budget) {
      ++call->retries;
      ++call->spent;
    }
    if (decision.delay == support::duration::zero()) {
      send(call, now);
      return true;
    }
    call->retry_timer.emplace(call->home.context);
    call->retry_timer->expires_after(decision.delay);
    call->retry_timer->async_wait([this, call](asio::error_code error) {
      if (!error && !call->ended) {
        send(call, support::monotonic_now());
      }
    });
    return true;
  }

  void finish(entry_call& call, wire::call_reply reply) {
    call.ended = true;
    if (reply.outcome == wire::outcome::not_run && call.runs > 0) {
      // An earlier attempt may have run, so the refusal of the last attempt does not determine the
      // outcome.
      reply.outcome = wire::outcome::unknown;
      reply.code = result_code::outcome_unknown;
      reply.http_status = support::describe(reply.code).http_status;
    }
    if (call.parent) {
      decide::parent_summary summary;
      summary.unused_attempts = decide::take_attempts(call.budget, call.first_budget);
      summary.spent_attempts = call.spent;
      summary.overloaded_below = reply.overloaded_below || decide::is_overload(reply.code) ||
                                 reply.code == result_code::backend_shed;
      // A reply generated by the link or by this daemon carries no information about the service.
      std::optional<decide::child_threshold> learned;
      if (reply.limit != 0) {
        learned = {call.request.service_slot, reply.threshold};
      }
      decide::return_to_parent(board_.parents, *call.parent, call.first_budget, summary,
                               reply.outcome == wire::outcome::completed, learned,
                               support::monotonic_now());
    }
    if (call.duplicate) {
      decide::end_call(board_.duplicates, *call.duplicate);
    }
    if (call.has_permit && reply.outcome == wire::outcome::not_run) {
      environment_.permits->give_back(call.home.index, *call.request.limited);
    }
    const auto now = support::monotonic_now();
    environment_.metrics->observe(call.home.index, call.request.organisation_slot,
                                  call.request.call.rank, time_kind::call, now - call.arrived);
    environment_.metrics->count(call.home.index, call.request.organisation_slot,
                                call.request.call.rank, reply.outcome);
    record(call, reply, now);
    if (call.request.may_be_backend_call) {
      auto& histories = threads_[call.home.index].histories;
      if (const auto history = histories.find(call.connection); history != histories.end()) {
        history->second.answered = now;
      }
    }
    const auto respond = std::move(call.respond);
    const auto request = std::move(call.request);
    remove_call(call);
    respond(environment_.protocol->answer_call(request, std::move(reply)));
    // A stopping process may end as soon as no call is in flight, so the answer counts by then.
    board_.calls_in_flight.fetch_sub(1, std::memory_order_release);
  }

  // Removes the call from the tables. The call is destroyed once its callbacks are.
  void remove_call(const entry_call& call) {
    auto& own_calls = threads_[call.home.index];
    const auto [first, last] = own_calls.by_connection.equal_range(call.connection);
    for (auto entry = first; entry != last; ++entry) {
      if (entry->second == call.id) {
        own_calls.by_connection.erase(entry);
        break;
      }
    }
    own_calls.calls.erase(call.id);
  }

  void record(entry_call& call, const wire::call_reply& reply, support::time_point now) {
    if (reply.outcome == wire::outcome::completed && !is_sampled(call.request.call.id)) {
      return;
    }
    if (std::uint32_t dropped = 0; call_log_budget_.allow(now, dropped)) {
      log_call_end(call, reply, now, dropped);
    }
    trace_record record;
    record.id = call.request.call.id;
    record.service = call.request.call.service;
    record.organisation = call.request.call.organisation;
    record.rank = call.request.call.rank;
    record.depth = call.request.call.depth;
    record.level = call.level;
    record.threshold = decide::entry_threshold(board_.thresholds, call.request.threshold_subject,
                                               call.request.organisation_slot, now);
    record.attempts = call.attempts;
    record.total_us = static_cast<std::uint64_t>(
        std::chrono::duration_cast<support::microseconds>(now - call.arrived).count());
    record.outcome = reply.outcome;
    record.code = reply.code;
    record.upstream = call.current.address;
    call.home.traces.add(std::move(record));
  }

  void connection_closed(request_thread& home, std::uint64_t connection) {
    auto& own_calls = threads_[home.index];
    own_calls.histories.erase(connection);
    std::vector<call_ptr> affected;
    const auto [first, last] = own_calls.by_connection.equal_range(connection);
    for (auto entry = first; entry != last; ++entry) {
      if (const auto found = own_calls.calls.find(entry->second); found != own_calls.calls.end()) {
        affected.push_back(found->second);
      }
    }
    for (const auto& call : affected) {
      cancel(*call);
    }
  }

  void cancel(entry_call& call) {
    if (call.retry_timer) {
      call.retry_timer->cancel();
    }
    const auto current = call.current;
    // An attempt in progress may run, so that its permit is used.
    call.has_permit = call.has_permit && !current.remote && !current.local;
    finish(call, refusal_reply(result_code::cancelled));
    if (current.remote) {
      net::peer_pool::cancel(*current.remote);
    }
    if (current.local) {
      environment_.upstream->cancel(call.home, *current.local);
    }
  }

  entry_environment environment_;
  board::call_board& board_;
  const support::time_point started_ = support::monotonic_now();
  std::vector<thread_calls> threads_;
  support::log_rate_limiter call_log_budget_{call_log_lines_per_second};
  support::log_rate_limiter rejection_log_budget_{rejection_log_lines_per_second};
};

entry_calls::entry_calls(entry_environment environment)
    : implementation_(std::make_unique<implementation>(std::move(environment))) {}

entry_calls::~entry_calls() = default;

void entry_calls::serve(request_thread& home, net::http_request request,
                        net::http_responder respond) {
  implementation_->serve(home, std::move(request), std::move(respond));
}

void entry_calls::connection_closed(request_thread& home, std::uint64_t connection) {
  implementation_->connection_closed(home, connection);
}

} // namespace acaciasill::daemon

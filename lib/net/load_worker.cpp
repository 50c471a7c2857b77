#include "acaciasill/net/load_worker.h"

#include <algorithm>
#include <random>

#include "absl/strings/str_format.h"
#include "acaciasill/net/load_answer.h"
#include "acaciasill/support/hash.h"

namespace acaciasill::net {
namespace {

using support::duration;

// Interval between checks for calls past their deadline.
constexpr support::milliseconds expiry_check_interval{5};

asio::ip::tcp::endpoint to_endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  return {asio::ip::make_address(text.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

bool is_completed(const load_response& response) {
  return response.result == transport_result::answered && response.status == 200;
}

std::string failure_name(const load_response& response) {
  switch (response.result) {
  case transport_result::connect_failed:
    return "not-sent";
  case transport_result::connection_lost:
    return "broken";
  case transport_result::cancelled:
    return "given-up";
  case transport_result::answered:
    break;
  }
  return response.result_code.empty() ? std::to_string(response.status) : response.result_code;
}

} // namespace

// State of one call over all its attempts.
struct load_worker::pending_call {
  std::size_t class_index = 0;
  std::size_t phase = 0;
  duration arrival{0};
  duration deadline{0};
  bool closed_loop = false;
  std::uint32_t attempts = 0;
  std::string request_id;
  std::string key;
  std::uint64_t body_hash = 0;
  std::shared_ptr<http_load_connection> connection;
};

// Connections to one target address, and the calls that wait for one.
struct load_worker::target_pool {
  std::string host;
  asio::ip::tcp::endpoint endpoint;
  std::uint32_t open = 0;
  std::vector<std::shared_ptr<http_load_connection>> idle;
  std::deque<call_pointer> waiting;
};

// Arrival schedule and request template of one class.
struct load_worker::class_state {
  std::vector<rate_span> schedule;
  std::unique_ptr<asio::steady_timer> timer;
  duration next{0};
  std::vector<std::size_t> targets;
  std::string header_lines;
  std::string body;
  std::uint64_t body_hash = 0;
};

load_worker::load_worker(const load_plan& plan, std::uint32_t index, support::time_point begin)
    : plan_(plan), index_(index), begin_(begin), length_(total_length(plan)),
      random_(plan.seed * 1000003 + index), run_salt_(std::random_device{}()), io_(1),
      expiry_timer_(io_), results_(plan) {}

load_worker::~load_worker() = default;

duration load_worker::now() const {
  return support::monotonic_now() - begin_;
}

void load_worker::run() {
  start_classes();
  expire_calls();
  io_.run();
}

void load_worker::start_classes() {
  const auto target_index = [this](const std::string& host) {
    for (std::size_t index = 0; index < targets_.size(); ++index) {
      if (targets_[index]->host == host) {
        return index;
      }
    }
    auto pool = std::make_unique<target_pool>();
    pool->host = host;
    pool->endpoint = to_endpoint(host);
    targets_.push_back(std::move(pool));
    return targets_.size() - 1;
  };
  for (std::size_t class_index = 0; class_index < plan_.classes.size(); ++class_index) {
    const auto& spec = plan_.classes[class_index];
    auto state = std::make_unique<class_state>();
    state->schedule = class_schedule(plan_, spec, plan_.threads);
    state->timer = std::make_unique<asio::steady_timer>(io_);
    for (const auto& host : spec.targets.empty() ? plan_.targets : spec.targets) {
      state->targets.push_back(target_index(host));
    }
    for (const auto& line : spec.headers) {
      state->header_lines.append(line).append("\r\n");
    }
    if (!spec.organisation.empty()) {
      state->header_lines.append("x-organisation: ").append(spec.organisation).append("\r\n");
    }
    if (!spec.priority.empty()) {
      state->header_lines.append("x-priority: ").append(spec.priority).append("\r\n");
    }
    state->body.assign(spec.body_bytes, 'a');
    state->body_hash = support::hash64(state->body);
    classes_.push_back(std::move(state));
  }
  for (std::size_t class_index = 0; class_index < plan_.classes.size(); ++class_index) {
    schedule_arrivals(class_index);
    const auto clients = plan_.classes[class_index].clients;
    for (std::uint32_t client = index_; client < clients; client += plan_.threads) {
      ++active_clients_;
      start_client(class_index, duration{0});
    }
  }
}

void load_worker::schedule_arrivals(std::size_t class_index) {
  auto& state = *classes_[class_index];
  // Starts all overdue arrivals at once, so that a late timer does not delay later arrivals.
  while (true) {
    const auto next = next_arrival(state.schedule, plan_.spacing, state.next, random_);
    if (!next) {
      return;
    }
    state.next = *next;
    if (*next > now()) {
      break;
    }
    start_call(class_index, *next, false);
  }
  state.timer->expires_after(support::time_until(begin_ + state.next));
  state.timer->async_wait([this, class_index](const asio::error_code& error) {
    if (!error) {
      start_call(class_index, classes_[class_index]->next, false);
      schedule_arrivals(class_index);
    }
  });
}

void load_worker::start_client(std::size_t class_index, duration moment) {
  if (moment >= length_) {
    --active_clients_;
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(io_, support::time_until(begin_ + moment));
  timer->async_wait([this, class_index, moment, timer](const asio::error_code& error) {
    if (!error) {
      start_call(class_index, moment, true);
    }
  });
}

void load_worker::start_call(std::size_t class_index, duration arrival, bool closed_loop) {
  const auto& spec = plan_.classes[class_index];
  auto call = std::make_shared<pending_call>();
  call->class_index = class_index;
  call->phase = phase_at(plan_, arrival);
  call->arrival = arrival;
  call->deadline = arrival + spec.deadline;
  call->closed_loop = closed_loop;
  call->body_hash = classes_[class_index]->body_hash;
  results_.add_offered(class_index, call->phase, arrival);
  generate_ids(*call);
  active_.insert(call);
  attempt(call);
}

void load_worker::generate_ids(pending_call& call) {
  call.request_id = absl::StrFormat("%016x%016x", random_() + run_salt_, random_());
  if (plan_.classes[call.class_index].idempotency_key) {
    call.key = "key-" + call.request_id;
  }
}

void load_worker::attempt(const call_pointer& call) {
  const auto& target_indices = classes_[call->class_index]->targets;
  auto& target = *targets_[target_indices[support::uniform_below(random_, target_indices.size())]];
  if (!target.idle.empty()) {
    const auto connection = std::move(target.idle.back());
    target.idle.pop_back();
    send(call, target, connection);
    return;
  }
  if (target.open >= plan_.connections) {
    target.waiting.push_back(call);
    return;
  }
  ++target.open;
  send(call, target, std::make_shared<http_load_connection>(io_, target.endpoint));
}

void load_worker::send(const call_pointer& call, target_pool& target,
                       const std::shared_ptr<http_load_connection>& connection) {
  ++call->attempts;
  ++results_.tally(call->class_index, call->phase).attempts;
  call->connection = connection;
  connection->send(request_text(*call, target),
                   [this, call, &target, connection](const load_response& response) {
                     on_response(call, target, connection, response);
                   });
}

std::string load_worker::request_text(const pending_call& call, const target_pool& target) const {
  const auto& spec = plan_.classes[call.class_index];
  const auto& state = *classes_[call.class_index];
  std::string lines = state.header_lines;
  lines.append("x-request-id: ").append(call.request_id).append("\r\n");
  if (!call.key.empty()) {
    lines.append("idempotency-key: ").append(call.key).append("\r\n");
  }
  if (spec.send_deadline) {
    const auto left = std::max<long long>(1, support::whole_milliseconds(call.deadline - now()));
    lines.append("x-deadline-ms: ").append(std::to_string(left)).append("\r\n");
  }
  const auto path = spec.service.empty() ? spec.path : "/svc/" + spec.service + spec.path;
  return format_request(spec.method, target.host, path, lines, state.body);
}

void load_worker::on_response(const call_pointer& call, target_pool& target,
                              const std::shared_ptr<http_load_connection>& connection,
                              const load_response& response) {
  call->connection = nullptr;
  release_connection(target, connection);
  const auto result = classify_response(*call, response);
  record_attempt(*call, response, result);
  end_attempt(call, result);
}

call_result load_worker::classify_response(const pending_call& call,
                                           const load_response& response) {
  if (response.result == transport_result::cancelled) {
    return call_result::timeout;
  }
  if (response.result != transport_result::answered) {
    return call_result::broken;
  }
  if (is_completed(response)) {
    switch (check_answer(response.body, call.request_id, call.body_hash)) {
    case answer_check::intact:
      return now() <= call.deadline ? call_result::useful : call_result::late;
    case answer_check::mismatched:
      ++results_.foreign_answers;
      return call_result::failed;
    case answer_check::truncated:
      ++results_.cut_answers;
      return call_result::failed;
    }
  }
  if (response.outcome == "not-run") {
    return call_result::not_run;
  }
  return response.outcome == "unknown" ? call_result::unknown : call_result::failed;
}

void load_worker::record_attempt(const pending_call& call, const load_response& response,
                                 call_result result) {
  if (result != call_result::useful && result != call_result::late) {
    ++results_.tally(call.class_index, call.phase).refusals[failure_name(response)];
  }
  if (plan_.call_log.empty()) {
    return;
  }
  results_.call_log.append(call.request_id).append(" ");
  results_.call_log.append(call.key.empty() ? "-" : call.key).append(" ");
  results_.call_log.append(plan_.classes[call.class_index].name).append(" ");
  results_.call_log.append(result_name(result)).append(" ");
  results_.call_log.append(failure_name(response)).append("\n");
}

void load_worker::end_attempt(const call_pointer& call, call_result result) {
  const auto& spec = plan_.classes[call->class_index];
  const bool is_final = result == call_result::useful || result == call_result::late;
  if (is_final || call->attempts > spec.retries || now() + spec.retry_pause >= call->deadline) {
    end_call(call, result);
    return;
  }
  if (!spec.same_id) {
    generate_ids(*call);
  }
  auto timer = std::make_shared<asio::steady_timer>(io_, spec.retry_pause);
  timer->async_wait([this, call, timer](const asio::error_code& error) {
    if (!error && active_.count(call) != 0) {
      attempt(call);
    }
  });
}

void load_worker::end_call(const call_pointer& call, call_result result) {
  active_.erase(call);
  if (result == call_result::useful) {
    results_.add_useful(call->class_index, call->phase, call->arrival, now());
  }
  if (result == call_result::late) {
    results_.add_late(call->class_index, call->phase, now() - call->arrival);
  }
  if (result != call_result::useful && result != call_result::late) {
    ++results_.tally(call->class_index, call->phase).count(result);
  }
  if (call->closed_loop) {
    start_client(call->class_index, now() + plan_.classes[call->class_index].think_time);
  }
}

void load_worker::release_connection(target_pool& target,
                                     const std::shared_ptr<http_load_connection>& connection) {
  std::shared_ptr<http_load_connection> next = connection;
  if (!connection->is_open()) {
    --target.open;
    next = nullptr;
  }
  // Skips calls that expired while they were waiting.
  while (!target.waiting.empty() && active_.count(target.waiting.front()) == 0) {
    target.waiting.pop_front();
  }
  if (target.waiting.empty()) {
    if (next) {
      target.idle.push_back(std::move(next));
    }
    return;
  }
  if (!next) {
    ++target.open;
    next = std::make_shared<http_load_connection>(io_, target.endpoint);
  }
  const auto waiting = std::move(target.waiting.front());
  target.waiting.pop_front();
  send(waiting, target, next);
}

void load_worker::expire_calls() {
  const auto moment = now();
  std::vector<call_pointer> overdue;
  for (const auto& call : active_) {
    if (moment > call->deadline) {
      overdue.push_back(call);
    }
  }
  for (const auto& call : overdue) {
    if (const auto connection = call->connection) {
      connection->cancel();
      continue;
    }
    end_call(call, call_result::timeout);
  }
  if (moment > length_ && active_.empty() && active_clients_ == 0) {
    for (const auto& target : targets_) {
      for (const auto& connection : target->idle) {
        connection->cancel();
      }
    }
    return;
  }
  expiry_timer_.expires_after(expiry_check_interval);
  expiry_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      expire_calls();
    }
  });
}

} // namespace acaciasill::net

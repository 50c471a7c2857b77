#include "acaciasill/net/load_worker.h"

#include <algorithm>
#include <random>

#include "absl/strings/str_format.h"
#include "acaciasill/net/load_answer.h"
#include "acaciasill/support/hash.h"

namespace acaciasill::net {
namespace {

using support::duration;

// How often calls whose caller has lost patience are looked for.
constexpr support::milliseconds watch_period{5};

asio::ip::tcp::endpoint to_endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  return {asio::ip::make_address(text.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

bool is_completed(const load_response& response) {
  return response.end == load_end::answered && response.status == 200;
}

std::string refusal_name(const load_response& response) {
  switch (response.end) {
  case load_end::not_sent:
    return "not-sent";
  case load_end::broken:
    return "broken";
  case load_end::given_up:
    return "given-up";
  case load_end::answered:
    break;
  }
  return response.result_code.empty() ? std::to_string(response.status) : response.result_code;
}

} // namespace

// One whole request with all its attempts.
struct load_worker::call {
  std::size_t kind = 0;
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

// One address with its connections.
struct load_worker::target {
  std::string host;
  asio::ip::tcp::endpoint endpoint;
  std::uint32_t open = 0;
  std::vector<std::shared_ptr<http_load_connection>> idle;
  std::deque<call_pointer> waiting;
};

// The arrivals of one class.
struct load_worker::stream {
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
      watch_timer_(io_), results_(plan) {}

load_worker::~load_worker() = default;

duration load_worker::now() const {
  return support::monotonic_now() - begin_;
}

void load_worker::run() {
  start_streams();
  watch();
  io_.run();
}

void load_worker::start_streams() {
  const auto target_index = [this](const std::string& host) {
    for (std::size_t index = 0; index < targets_.size(); ++index) {
      if (targets_[index]->host == host) {
        return index;
      }
    }
    auto made = std::make_unique<target>();
    made->host = host;
    made->endpoint = to_endpoint(host);
    targets_.push_back(std::move(made));
    return targets_.size() - 1;
  };
  for (std::size_t kind = 0; kind < plan_.classes.size(); ++kind) {
    const auto& spec = plan_.classes[kind];
    auto made = std::make_unique<stream>();
    made->schedule = class_schedule(plan_, spec, plan_.threads);
    made->timer = std::make_unique<asio::steady_timer>(io_);
    for (const auto& host : spec.targets.empty() ? plan_.targets : spec.targets) {
      made->targets.push_back(target_index(host));
    }
    for (const auto& line : spec.headers) {
      made->header_lines.append(line).append("\r\n");
    }
    if (!spec.organisation.empty()) {
      made->header_lines.append("x-organisation: ").append(spec.organisation).append("\r\n");
    }
    if (!spec.priority.empty()) {
      made->header_lines.append("x-priority: ").append(spec.priority).append("\r\n");
    }
    made->body.assign(spec.body_bytes, 'a');
    made->body_hash = support::hash64(made->body);
    streams_.push_back(std::move(made));
  }
  for (std::size_t kind = 0; kind < plan_.classes.size(); ++kind) {
    schedule(kind);
    const auto clients = plan_.classes[kind].clients;
    for (std::uint32_t client = index_; client < clients; client += plan_.threads) {
      ++clients_left_;
      start_client(kind, duration{0});
    }
  }
}

void load_worker::schedule(std::size_t kind) {
  auto& arrivals = *streams_[kind];
  // All arrivals that are due are begun at once, so that a late timer delays none of them twice.
  while (true) {
    const auto next = next_arrival(arrivals.schedule, plan_.spacing, arrivals.next, random_);
    if (!next) {
      return;
    }
    arrivals.next = *next;
    if (*next > now()) {
      break;
    }
    begin_call(kind, *next, false);
  }
  arrivals.timer->expires_after(support::time_until(begin_ + arrivals.next));
  arrivals.timer->async_wait([this, kind](const asio::error_code& error) {
    if (!error) {
      begin_call(kind, streams_[kind]->next, false);
      schedule(kind);
    }
  });
}

void load_worker::start_client(std::size_t kind, duration moment) {
  if (moment >= length_) {
    --clients_left_;
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(io_, support::time_until(begin_ + moment));
  timer->async_wait([this, kind, moment, timer](const asio::error_code& error) {
    if (!error) {
      begin_call(kind, moment, true);
    }
  });
}

void load_worker::begin_call(std::size_t kind, duration arrival, bool closed_loop) {
  const auto& spec = plan_.classes[kind];
  auto one = std::make_shared<call>();
  one->kind = kind;
  one->phase = phase_at(plan_, arrival);
  one->arrival = arrival;
  one->deadline = arrival + spec.deadline;
  one->closed_loop = closed_loop;
  one->body_hash = streams_[kind]->body_hash;
  results_.add_offered(kind, one->phase, arrival);
  renew_ids(*one);
  active_.insert(one);
  attempt(one);
}

void load_worker::renew_ids(call& one) {
  one.request_id = absl::StrFormat("%016x%016x", random_() + run_salt_, random_());
  if (plan_.classes[one.kind].idempotency_key) {
    one.key = "key-" + one.request_id;
  }
}

void load_worker::attempt(const call_pointer& one) {
  const auto& choices = streams_[one->kind]->targets;
  auto& where = *targets_[choices[support::uniform_below(random_, choices.size())]];
  if (!where.idle.empty()) {
    const auto connection = std::move(where.idle.back());
    where.idle.pop_back();
    send(one, where, connection);
    return;
  }
  if (where.open >= plan_.connections) {
    where.waiting.push_back(one);
    return;
  }
  ++where.open;
  send(one, where, std::make_shared<http_load_connection>(io_, where.endpoint));
}

void load_worker::send(const call_pointer& one, target& where,
                       const std::shared_ptr<http_load_connection>& connection) {
  ++one->attempts;
  ++results_.tally(one->kind, one->phase).attempts;
  one->connection = connection;
  connection->send(request_text(*one, where),
                   [this, one, &where, connection](const load_response& response) {
                     on_response(one, where, connection, response);
                   });
}

std::string load_worker::request_text(const call& one, const target& where) const {
  const auto& spec = plan_.classes[one.kind];
  const auto& arrivals = *streams_[one.kind];
  std::string lines = arrivals.header_lines;
  lines.append("x-request-id: ").append(one.request_id).append("\r\n");
  if (!one.key.empty()) {
    lines.append("idempotency-key: ").append(one.key).append("\r\n");
  }
  if (spec.send_deadline) {
    const auto left = std::max<long long>(1, support::whole_milliseconds(one.deadline - now()));
    lines.append("x-deadline-ms: ").append(std::to_string(left)).append("\r\n");
  }
  const auto path = spec.service.empty() ? spec.path : "/svc/" + spec.service + spec.path;
  return format_request(spec.method, where.host, path, lines, arrivals.body);
}

void load_worker::on_response(const call_pointer& one, target& where,
                              const std::shared_ptr<http_load_connection>& connection,
                              const load_response& response) {
  one->connection = nullptr;
  release(where, connection);
  const auto result = judge(*one, response);
  note_attempt(*one, response, result);
  end_attempt(one, result);
}

call_result load_worker::judge(const call& one, const load_response& response) {
  if (response.end == load_end::given_up) {
    return call_result::timeout;
  }
  if (response.end != load_end::answered) {
    return call_result::broken;
  }
  if (is_completed(response)) {
    switch (check_answer(response.body, one.request_id, one.body_hash)) {
    case answer_check::whole:
      return now() <= one.deadline ? call_result::useful : call_result::late;
    case answer_check::foreign:
      ++results_.foreign_answers;
      return call_result::failed;
    case answer_check::cut:
      ++results_.cut_answers;
      return call_result::failed;
    }
  }
  if (response.outcome == "not-run") {
    return call_result::not_run;
  }
  return response.outcome == "unknown" ? call_result::unknown : call_result::failed;
}

void load_worker::note_attempt(const call& one, const load_response& response, call_result result) {
  if (result != call_result::useful && result != call_result::late) {
    ++results_.tally(one.kind, one.phase).refusals[refusal_name(response)];
  }
  if (plan_.call_log.empty()) {
    return;
  }
  results_.call_log.append(one.request_id).append(" ");
  results_.call_log.append(one.key.empty() ? "-" : one.key).append(" ");
  results_.call_log.append(plan_.classes[one.kind].name).append(" ");
  results_.call_log.append(result_name(result)).append(" ");
  results_.call_log.append(refusal_name(response)).append("\n");
}

void load_worker::end_attempt(const call_pointer& one, call_result result) {
  const auto& spec = plan_.classes[one->kind];
  const bool is_final = result == call_result::useful || result == call_result::late;
  if (is_final || one->attempts > spec.retries || now() + spec.retry_pause >= one->deadline) {
    end_call(one, result);
    return;
  }
  if (!spec.same_id) {
    renew_ids(*one);
  }
  auto timer = std::make_shared<asio::steady_timer>(io_, spec.retry_pause);
  timer->async_wait([this, one, timer](const asio::error_code& error) {
    if (!error && active_.count(one) != 0) {
      attempt(one);
    }
  });
}

void load_worker::end_call(const call_pointer& one, call_result result) {
  active_.erase(one);
  if (result == call_result::useful) {
    results_.add_useful(one->kind, one->phase, one->arrival, now());
  }
  if (result == call_result::late) {
    results_.add_late(one->kind, one->phase, now() - one->arrival);
  }
  if (result != call_result::useful && result != call_result::late) {
    ++results_.tally(one->kind, one->phase).count(result);
  }
  if (one->closed_loop) {
    start_client(one->kind, now() + plan_.classes[one->kind].think_time);
  }
}

void load_worker::release(target& where, const std::shared_ptr<http_load_connection>& connection) {
  std::shared_ptr<http_load_connection> next = connection;
  if (!connection->is_open()) {
    --where.open;
    next = nullptr;
  }
  // A call whose caller has gone in the meantime is passed over.
  while (!where.waiting.empty() && active_.count(where.waiting.front()) == 0) {
    where.waiting.pop_front();
  }
  if (where.waiting.empty()) {
    if (next) {
      where.idle.push_back(std::move(next));
    }
    return;
  }
  if (!next) {
    ++where.open;
    next = std::make_shared<http_load_connection>(io_, where.endpoint);
  }
  const auto waiting = std::move(where.waiting.front());
  where.waiting.pop_front();
  send(waiting, where, next);
}

void load_worker::watch() {
  const auto moment = now();
  std::vector<call_pointer> overdue;
  for (const auto& one : active_) {
    if (moment > one->deadline) {
      overdue.push_back(one);
    }
  }
  for (const auto& one : overdue) {
    if (const auto connection = one->connection) {
      connection->give_up();
      continue;
    }
    end_call(one, call_result::timeout);
  }
  if (moment > length_ && active_.empty() && clients_left_ == 0) {
    for (const auto& where : targets_) {
      for (const auto& connection : where->idle) {
        connection->give_up();
      }
    }
    return;
  }
  watch_timer_.expires_after(watch_period);
  watch_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      watch();
    }
  });
}

} // namespace acaciasill::net

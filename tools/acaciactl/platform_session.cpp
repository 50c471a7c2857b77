#include "platform_session.h"

#include <algorithm>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "acaciasill/support/result_code.h"

namespace acaciasill::ctl {
namespace {

using control::platform_answer;
using control::platform_end;
using support::result_code;

// Timeout of one request of a publication; the publication retries after it.
constexpr support::milliseconds publication_request_timeout{2000};
constexpr std::uint64_t rows_per_block = 100;

net::platform_client_settings client_settings(const std::string& url) {
  net::platform_client_settings settings;
  settings.url = url;
  // Keeps the circuit breaker closed: a command makes few requests and --timeout-ms bounds them.
  settings.breaker.failure_threshold = 1000;
  return settings;
}

absl::Status unavailable() {
  return support::make_error(result_code::platform_unavailable);
}

} // namespace

platform_session::platform_session(const std::string& url, support::milliseconds timeout)
    : deadline_(support::monotonic_now() + timeout),
      client_(client_settings(url), [this](platform_answer answer) {
        const std::lock_guard lock(mutex_);
        answers_.push_back(std::move(answer));
        answer_arrived_.notify_one();
      }) {}

absl::StatusOr<control::configuration_head> platform_session::read_head() {
  auto head = read_head_row(std::string(control::configuration_head_key));
  if (support::code_of(head.status()) == result_code::platform_not_found) {
    return control::configuration_head{};
  }
  return head;
}

absl::StatusOr<control::configuration_head>
platform_session::read_generation(std::uint64_t generation) {
  auto head = read_head_row(control::history_key(generation));
  if (head.ok() && head->generation != generation) {
    return support::make_error(result_code::platform_corrupt,
                               "history row has a different generation than its key");
  }
  return head;
}

absl::StatusOr<std::vector<control::configuration_head>>
platform_session::read_history(std::uint64_t count) {
  const auto newest = read_head();
  if (!newest.ok()) {
    return newest.status();
  }
  std::vector<control::configuration_head> heads;
  std::uint64_t block = newest->generation / rows_per_block;
  while (heads.size() < count) {
    const auto prefix = control::history_block_prefix(block * rows_per_block);
    const auto answer = execute(control::list_rows{prefix, rows_per_block});
    if (answer.end != platform_end::done) {
      return unavailable();
    }
    for (auto row = answer.rows.rbegin(); row != answer.rows.rend() && heads.size() < count;
         ++row) {
      auto head = control::decode_configuration_head(row->value);
      if (!head.ok()) {
        return head.status();
      }
      heads.push_back(*std::move(head));
    }
    if (block == 0) {
      break;
    }
    --block;
  }
  return heads;
}

absl::StatusOr<std::string> platform_session::read_object(const std::string& digest) {
  auto answer = execute(control::read_object{digest});
  if (answer.end == platform_end::refused) {
    return support::make_error(result_code::platform_not_found, digest);
  }
  if (answer.end != platform_end::done) {
    return unavailable();
  }
  return std::move(answer.bytes);
}

control::publication_finished platform_session::publish(control::publication_plan plan) {
  plan.total_timeout = time_left();
  plan.request_timeout = publication_request_timeout;
  auto state = control::make_publication(plan);
  support::random_source random(std::random_device{}());
  support::time_point timer_at = deadline_;
  std::vector<control::publication_action> actions;
  control::step(state, control::publication_started{}, support::monotonic_now(), random, actions);
  while (true) {
    for (auto& action : actions) {
      if (auto* request = std::get_if<control::platform_request>(&action)) {
        client_.send(std::move(*request));
      }
      if (const auto* timer = std::get_if<control::set_timer>(&action)) {
        timer_at = timer->at;
      }
      if (auto* result = std::get_if<control::publication_finished>(&action)) {
        return std::move(*result);
      }
    }
    actions.clear();
    auto answer = wait_until(timer_at);
    const auto now = support::monotonic_now();
    if (answer) {
      control::step(state, *std::move(answer), now, random, actions);
    } else {
      control::step(state, control::timer_fired{}, now, random, actions);
    }
  }
}

std::string platform_session::make_token() {
  std::random_device device;
  std::string token;
  for (int i = 0; i < 4; ++i) {
    token += absl::StrFormat("%08x", device());
  }
  return token;
}

platform_answer platform_session::execute(control::platform_operation operation) {
  const auto ticket = ++last_ticket_;
  client_.send({ticket, std::move(operation), time_left()});
  while (true) {
    // Waits without a limit, since the client answers each request within its timeout.
    if (auto answer = wait_until(support::time_point::max()); answer && answer->ticket == ticket) {
      return *std::move(answer);
    }
  }
}

absl::StatusOr<control::configuration_head>
platform_session::read_head_row(const std::string& key) {
  const auto answer = execute(control::read_row{key});
  if (answer.end != platform_end::done) {
    return unavailable();
  }
  if (answer.rows.empty()) {
    return support::make_error(result_code::platform_not_found, key);
  }
  return control::decode_configuration_head(answer.rows.front().value);
}

support::milliseconds platform_session::time_left() const {
  const auto left =
      std::chrono::duration_cast<support::milliseconds>(deadline_ - support::monotonic_now());
  return std::max(left, support::milliseconds(1));
}

std::optional<platform_answer> platform_session::wait_until(support::time_point when) {
  std::unique_lock lock(mutex_);
  const auto has_answer = [this] { return !answers_.empty(); };
  if (when == support::time_point::max()) {
    answer_arrived_.wait(lock, has_answer);
  } else if (!answer_arrived_.wait_until(lock, when, has_answer)) {
    return std::nullopt;
  }
  auto answer = std::move(answers_.front());
  answers_.pop_front();
  return answer;
}

} // namespace acaciasill::ctl

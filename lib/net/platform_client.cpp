#include "acaciasill/net/platform_client.h"

#include <algorithm>
#include <atomic>
#include <cassert>
#include <deque>
#include <mutex>
#include <optional>
#include <random>
#include <thread>
#include <utility>
#include <vector>

#include "acaciasill/net/platform_protocol.h"
#include "platform_transfer.h"

namespace acaciasill::net {
namespace {

using control::platform_answer;
using control::platform_end;
using control::platform_request;
using support::time_point;

// Maximum time of one poll.
constexpr support::milliseconds max_poll_time{1000};
constexpr std::uint16_t too_many_requests = 429;

// A request that has not been answered yet.
struct pending_request {
  platform_request request;
  platform_exchange http;
  time_point deadline;
  // Earliest start of the next attempt.
  time_point earliest_start;
  std::uint32_t attempts = 0;
  // Whether an earlier attempt may have taken effect.
  bool maybe_applied = false;
};

// An attempt in flight.
struct attempt {
  pending_request pending;
  std::unique_ptr<platform_transfer> transfer;
};

// Whether the response counts as a failure of the platform.
bool is_platform_failure(const http_response& response) {
  return response.status >= 500 || response.status == too_many_requests;
}

// Whether the platform would reject the same request again.
bool is_client_error(const http_response& response) {
  return response.status >= 400 && !is_platform_failure(response);
}

} // namespace

struct platform_client::implementation {
  implementation(platform_client_settings settings, answer_callback on_answer)
      : settings_(std::move(settings)), on_answer_(std::move(on_answer)),
        random_(settings_.seed != 0 ? settings_.seed : std::random_device{}()),
        thread_([this] { run(); }) {}

  ~implementation() {
    stopping_ = true;
    multi_.wake();
    thread_.join();
    for (const auto& each : in_flight_) {
      multi_.remove(*each.transfer);
    }
  }

  void send(platform_request request) {
    const auto deadline = support::monotonic_now() + request.timeout;
    {
      const std::lock_guard lock(mutex_);
      submitted_.push_back({std::move(request), {}, deadline, {}, 0, false});
    }
    multi_.wake();
  }

  platform_client_counters counters() const {
    const std::lock_guard lock(mutex_);
    return counters_;
  }

private:
  void run() {
    while (!stopping_) {
      accept_submitted();
      start_ready(support::monotonic_now());
      multi_.perform();
      finish_transfers();
      publish_counters();
      if (stopping_) {
        return;
      }
      multi_.poll(time_until_next(support::monotonic_now()));
    }
  }

  // Moves submitted requests to the waiting queue. Invalid requests and those beyond the queue
  // limit fail immediately.
  void accept_submitted() {
    std::deque<pending_request> submitted;
    {
      const std::lock_guard lock(mutex_);
      submitted.swap(submitted_);
    }
    for (auto& pending : submitted) {
      auto http = encode_operation(pending.request.operation);
      if (!http.ok() || waiting_.size() >= settings_.max_waiting) {
        answer({pending.request.ticket, platform_end::failed_before, {}, ""});
        continue;
      }
      pending.http = *std::move(http);
      waiting_.push_back(std::move(pending));
    }
  }

  // Fails waiting requests whose deadline has passed and starts those that are ready.
  void start_ready(time_point now) {
    std::deque<pending_request> still_waiting;
    for (auto& pending : waiting_) {
      if (now >= pending.deadline) {
        fail(pending);
        continue;
      }
      if (now < pending.earliest_start || in_flight_.size() >= settings_.max_in_flight) {
        still_waiting.push_back(std::move(pending));
        continue;
      }
      if (!allow_request(breaker_, now)) {
        fail(pending);
        continue;
      }
      start(std::move(pending), now);
    }
    waiting_ = std::move(still_waiting);
  }

  void start(pending_request pending, time_point now) {
    const bool idempotent = is_idempotent(pending.request.operation);
    const auto left = std::chrono::ceil<support::milliseconds>(pending.deadline - now);
    const auto timeout = idempotent ? std::min(left, settings_.attempt_timeout) : left;
    ++pending.attempts;
    ++current_counters_.attempts;
    auto transfer = std::make_unique<platform_transfer>(settings_.url, pending.http, timeout,
                                                        /*fresh_connection=*/!idempotent);
    multi_.add(*transfer);
    in_flight_.push_back({std::move(pending), std::move(transfer)});
  }

  void finish_transfers() {
    while (const auto finished = multi_.next_finished()) {
      const auto found =
          std::find_if(in_flight_.begin(), in_flight_.end(), [&](const attempt& each) {
            return each.transfer->handle() == finished->handle;
          });
      assert(found != in_flight_.end() && "every transfer belongs to an attempt");
      attempt ended = std::move(*found);
      in_flight_.erase(found);
      multi_.remove(*ended.transfer);
      const auto result = ended.transfer->extract_result(finished->code);
      finish_attempt(std::move(ended.pending), result);
    }
  }

  void finish_attempt(pending_request pending, const transfer_result& result) {
    const auto now = support::monotonic_now();
    if (!result.response || is_platform_failure(*result.response)) {
      on_failure(breaker_, settings_.breaker, now, random_);
    } else {
      on_success(breaker_);
    }
    platform_answer reply = decode_result(pending, result);
    pending.maybe_applied = pending.maybe_applied || reply.end == platform_end::unknown;
    const bool is_final = reply.end == platform_end::done || reply.end == platform_end::refused;
    if (is_final) {
      return answer(std::move(reply));
    }
    if (now >= pending.deadline || !may_retry(pending, result)) {
      return fail(pending);
    }
    pending.earliest_start = now + full_jitter(settings_.min_backoff, settings_.max_backoff,
                                               pending.attempts - 1, random_);
    waiting_.push_back(std::move(pending));
  }

  static platform_answer decode_result(const pending_request& pending,
                                       const transfer_result& result) {
    if (result.response) {
      return decode_answer(pending.request.ticket, pending.request.operation, *result.response);
    }
    const auto end = result.maybe_sent ? end_after_lost_response(pending.request.operation)
                                       : platform_end::failed_before;
    return {pending.request.ticket, end, {}, ""};
  }

  // A row write is retried only if no attempt can have taken effect. A request that the platform
  // rejected is never retried.
  static bool may_retry(const pending_request& pending, const transfer_result& result) {
    if (result.response && is_client_error(*result.response)) {
      return false;
    }
    return is_idempotent(pending.request.operation) || !pending.maybe_applied;
  }

  // Ends a request without success: as unknown if an attempt may have taken effect, otherwise as
  // failed_before.
  void fail(const pending_request& pending) {
    const auto end = pending.maybe_applied ? platform_end::unknown : platform_end::failed_before;
    answer({pending.request.ticket, end, {}, ""});
  }

  void answer(platform_answer reply) {
    switch (reply.end) {
    case platform_end::done:
      ++current_counters_.done;
      break;
    case platform_end::refused:
      ++current_counters_.refused;
      break;
    case platform_end::failed_before:
      ++current_counters_.failed_before;
      break;
    case platform_end::unknown:
      ++current_counters_.unknown;
      break;
    }
    on_answer_(std::move(reply));
  }

  support::milliseconds time_until_next(time_point now) const {
    support::duration wait = max_poll_time;
    for (const auto& pending : waiting_) {
      wait = std::min(wait, pending.deadline - now);
      // While all slots are taken, the end of a transfer wakes the thread.
      if (in_flight_.size() < settings_.max_in_flight) {
        wait = std::min(wait, pending.earliest_start - now);
      }
    }
    return std::chrono::ceil<support::milliseconds>(std::max(wait, support::duration::zero()));
  }

  void publish_counters() {
    current_counters_.in_flight = in_flight_.size();
    current_counters_.waiting = waiting_.size();
    current_counters_.breaker_open = breaker_.open;
    const std::lock_guard lock(mutex_);
    counters_ = current_counters_;
  }

  const platform_client_settings settings_;
  const answer_callback on_answer_;
  transfer_multi multi_;
  std::atomic<bool> stopping_{false};

  mutable std::mutex mutex_;
  std::deque<pending_request> submitted_;
  platform_client_counters counters_;

  // State used only by the client's thread.
  support::random_source random_;
  breaker_state breaker_;
  platform_client_counters current_counters_;
  std::deque<pending_request> waiting_;
  std::vector<attempt> in_flight_;

  // Declared last, so that the other members are initialised before the thread starts.
  std::thread thread_;
};

platform_client::platform_client(platform_client_settings settings, answer_callback on_answer)
    : implementation_(std::make_unique<implementation>(std::move(settings), std::move(on_answer))) {
}

platform_client::~platform_client() = default;

void platform_client::send(control::platform_request request) {
  implementation_->send(std::move(request));
}

platform_client_counters platform_client::counters() const {
  return implementation_->counters();
}

} // namespace acaciasill::net

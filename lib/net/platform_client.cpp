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

// The longest sleep of the thread while nothing is due.
constexpr support::milliseconds longest_wait{1000};
constexpr std::uint16_t too_many_requests = 429;

// A request from its arrival to its answer.
struct exchange {
  platform_request request;
  platform_exchange http;
  time_point deadline;
  // When the next attempt may start.
  time_point not_before;
  std::uint32_t attempts = 0;
  // Whether an attempt ended without it being known whether it took effect.
  bool unsettled = false;
};

// An attempt that is under way.
struct attempt {
  exchange work;
  std::unique_ptr<platform_transfer> transfer;
};

// Whether a whole answer counts as a failure of the platform.
bool is_platform_failure(const http_response& response) {
  return response.status >= 500 || response.status == too_many_requests;
}

// Whether the platform would say the same again.
bool is_rejection(const http_response& response) {
  return response.status >= 400 && !is_platform_failure(response);
}

} // namespace

struct platform_client::implementation {
  implementation(platform_client_settings settings, answer_function on_answer)
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
      arrived_.push_back({std::move(request), {}, deadline, {}, 0, false});
    }
    multi_.wake();
  }

  platform_client_counts counts() const {
    const std::lock_guard lock(mutex_);
    return counts_;
  }

private:
  void run() {
    while (!stopping_) {
      take_arrivals();
      start_due(support::monotonic_now());
      multi_.perform();
      finish_transfers();
      store_counts();
      if (stopping_) {
        return;
      }
      multi_.poll(time_to_next(support::monotonic_now()));
    }
  }

  // Moves new requests to the waiting ones; those over the bound or not valid end at once.
  void take_arrivals() {
    std::deque<exchange> arrived;
    {
      const std::lock_guard lock(mutex_);
      arrived.swap(arrived_);
    }
    for (auto& work : arrived) {
      auto http = encode_operation(work.request.operation);
      if (!http.ok() || waiting_.size() >= settings_.max_waiting) {
        answer({work.request.ticket, platform_end::failed_before, {}, ""});
        continue;
      }
      work.http = *std::move(http);
      waiting_.push_back(std::move(work));
    }
  }

  // Ends waiting requests whose time is over and starts those whose turn it is.
  void start_due(time_point now) {
    std::deque<exchange> still_waiting;
    for (auto& work : waiting_) {
      if (now >= work.deadline) {
        give_up(work);
        continue;
      }
      if (now < work.not_before || in_flight_.size() >= settings_.max_in_flight) {
        still_waiting.push_back(std::move(work));
        continue;
      }
      if (!may_start(breaker_, now)) {
        give_up(work);
        continue;
      }
      start(std::move(work), now);
    }
    waiting_ = std::move(still_waiting);
  }

  void start(exchange work, time_point now) {
    const bool repeatable = is_repeatable(work.request.operation);
    const auto left = std::chrono::ceil<support::milliseconds>(work.deadline - now);
    const auto timeout = repeatable ? std::min(left, settings_.attempt_timeout) : left;
    ++work.attempts;
    ++counts_now_.attempts;
    auto transfer = std::make_unique<platform_transfer>(settings_.url, work.http, timeout,
                                                        /*fresh_connection=*/!repeatable);
    multi_.add(*transfer);
    in_flight_.push_back({std::move(work), std::move(transfer)});
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
      const auto result = ended.transfer->take_result(finished->code);
      finish_attempt(std::move(ended.work), result);
    }
  }

  void finish_attempt(exchange work, const transfer_result& result) {
    const auto now = support::monotonic_now();
    if (!result.response || is_platform_failure(*result.response)) {
      on_failure(breaker_, settings_.breaker, now, random_);
    } else {
      on_success(breaker_);
    }
    platform_answer reply = interpret(work, result);
    work.unsettled = work.unsettled || reply.end == platform_end::unknown;
    const bool is_final = reply.end == platform_end::done || reply.end == platform_end::refused;
    if (is_final) {
      return answer(std::move(reply));
    }
    if (now >= work.deadline || !may_repeat(work, result)) {
      return give_up(work);
    }
    work.not_before =
        now + full_jitter(settings_.min_backoff, settings_.max_backoff, work.attempts - 1, random_);
    waiting_.push_back(std::move(work));
  }

  static platform_answer interpret(const exchange& work, const transfer_result& result) {
    if (result.response) {
      return decode_answer(work.request.ticket, work.request.operation, *result.response);
    }
    const auto end =
        result.maybe_sent ? lost_end(work.request.operation) : platform_end::failed_before;
    return {work.request.ticket, end, {}, ""};
  }

  // A write of rows is repeated only where it certainly took no effect, and nothing is repeated
  // that the platform will reject again.
  static bool may_repeat(const exchange& work, const transfer_result& result) {
    if (result.response && is_rejection(*result.response)) {
      return false;
    }
    return is_repeatable(work.request.operation) || !work.unsettled;
  }

  // Ends a request without an answer of the platform.
  void give_up(const exchange& work) {
    const auto end = work.unsettled ? platform_end::unknown : platform_end::failed_before;
    answer({work.request.ticket, end, {}, ""});
  }

  void answer(platform_answer reply) {
    switch (reply.end) {
    case platform_end::done:
      ++counts_now_.done;
      break;
    case platform_end::refused:
      ++counts_now_.refused;
      break;
    case platform_end::failed_before:
      ++counts_now_.failed_before;
      break;
    case platform_end::unknown:
      ++counts_now_.unknown;
      break;
    }
    on_answer_(std::move(reply));
  }

  support::milliseconds time_to_next(time_point now) const {
    support::duration wait = longest_wait;
    for (const auto& work : waiting_) {
      wait = std::min(wait, work.deadline - now);
      // A request that waits for a place starts when another ends, which wakes the thread.
      if (in_flight_.size() < settings_.max_in_flight) {
        wait = std::min(wait, work.not_before - now);
      }
    }
    return std::chrono::ceil<support::milliseconds>(std::max(wait, support::duration::zero()));
  }

  void store_counts() {
    counts_now_.in_flight = in_flight_.size();
    counts_now_.waiting = waiting_.size();
    counts_now_.breaker_open = breaker_.open;
    const std::lock_guard lock(mutex_);
    counts_ = counts_now_;
  }

  const platform_client_settings settings_;
  const answer_function on_answer_;
  transfer_multi multi_;
  std::atomic<bool> stopping_{false};

  mutable std::mutex mutex_;
  std::deque<exchange> arrived_;
  platform_client_counts counts_;

  // The thread's own state.
  support::random_source random_;
  breaker_state breaker_;
  platform_client_counts counts_now_;
  std::deque<exchange> waiting_;
  std::vector<attempt> in_flight_;

  // Last, so that all else is there before it starts.
  std::thread thread_;
};

platform_client::platform_client(platform_client_settings settings, answer_function on_answer)
    : implementation_(std::make_unique<implementation>(std::move(settings), std::move(on_answer))) {
}

platform_client::~platform_client() = default;

void platform_client::send(control::platform_request request) {
  implementation_->send(std::move(request));
}

platform_client_counts platform_client::counts() const {
  return implementation_->counts();
}

} // namespace acaciasill::net

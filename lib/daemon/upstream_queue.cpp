#include "upstream_queue.h"

#include <utility>

#include <asio/post.hpp>

#include "acaciasill/board/call_board.h"
#include "acaciasill/daemon/request_thread.h"

namespace acaciasill::daemon {
namespace {

// Bit position of the thread index in a handle packed into one integer, which identifies the call
// in decide::wait_queue.
constexpr unsigned thread_shift = 56;

std::uint64_t pack(queue_handle handle) {
  return (static_cast<std::uint64_t>(handle.thread) << thread_shift) | handle.call;
}

queue_handle unpack(std::uint64_t packed) {
  return {static_cast<std::size_t>(packed >> thread_shift),
          packed & ((std::uint64_t{1} << thread_shift) - 1)};
}

} // namespace

upstream_queue::upstream_queue(board::call_board& board, request_thread& owner,
                               queue_callbacks callbacks)
    : board_(board), owner_(owner), callbacks_(std::move(callbacks)),
      queue_(board::organisation_capacity, decide::max_queue_capacity),
      controller_(board::organisation_capacity), drop_timer_(owner.context),
      permit_timer_(owner.context), control_timer_(owner.context) {}

void upstream_queue::start() {
  last_limit_sample_ = support::monotonic_now();
  limit_state_.ready_since = last_limit_sample_;
  arm_control_timer();
}

void upstream_queue::add(queue_handle call, const decide::request_facts& facts) {
  asio::post(owner_.context, [this, call, facts] { add_on_owner(call, facts); });
}

void upstream_queue::add_on_owner(queue_handle call, const decide::request_facts& facts) {
  const auto now = support::monotonic_now();
  {
    const board::rcu_read_guard guard;
    const auto ticket = decide::enqueue(queue_, board_.gate, board_.admission.read(guard), facts,
                                        pack(call), now, dropped_);
    if (ticket) {
      entries_[call] = {*ticket, facts.organisation};
    }
  }
  report_dropped();
  run_next(std::nullopt);
}

void upstream_queue::remove(queue_handle call) {
  asio::post(owner_.context, [this, call] { remove_on_owner(call); });
}

void upstream_queue::remove_on_owner(queue_handle call) {
  const auto entry = entries_.find(call);
  if (entry == entries_.end()) {
    return;
  }
  const board::rcu_read_guard guard;
  if (decide::remove(queue_, board_.gate, board_.admission.read(guard), entry->second.ticket,
                     support::monotonic_now())) {
    entries_.erase(entry);
  }
}

void upstream_queue::slot_released(std::uint32_t organisation) {
  if (board_.gate.waiting.load(std::memory_order_acquire) == 0) {
    return;
  }
  asio::post(owner_.context, [this, organisation] { run_next(organisation); });
}

void upstream_queue::slot_taken(queue_handle call) {
  asio::post(owner_.context, [this, call] { entries_.erase(call); });
}

void upstream_queue::release_cancelled(queue_handle call) {
  asio::post(owner_.context, [this, call] {
    const auto entry = entries_.find(call);
    if (entry == entries_.end()) {
      return;
    }
    const auto organisation = entry->second.organisation;
    entries_.erase(entry);
    decide::on_cancel(board_.gate, organisation);
    run_next(organisation);
  });
}

void upstream_queue::run_next(std::optional<std::uint32_t> finished_organisation) {
  const auto now = support::monotonic_now();
  while (true) {
    std::optional<decide::queued_call> next;
    {
      const board::rcu_read_guard guard;
      next = decide::next_from_queue(queue_, board_.gate, board_.admission.read(guard), now,
                                     dropped_, finished_organisation);
    }
    if (!next) {
      break;
    }
    finished_organisation.reset();
    callbacks_.on_run(unpack(next->handle));
  }
  report_dropped();
  arm_drop_timer();
  arm_permit_timer();
}

void upstream_queue::arm_permit_timer() {
  if (permit_timer_armed_ || decide::size(queue_) == 0) {
    return;
  }
  const auto moment = decide::next_permit_time(board_.gate.rate, support::monotonic_now());
  if (!moment) {
    return;
  }
  permit_timer_armed_ = true;
  permit_timer_.expires_after(support::time_until(*moment));
  permit_timer_.async_wait([this](asio::error_code error) {
    permit_timer_armed_ = false;
    if (!error) {
      run_next(std::nullopt);
    }
  });
}

void upstream_queue::report_dropped() {
  const auto dropped = std::exchange(dropped_, {});
  for (const auto& [call, code] : dropped) {
    const auto handle = unpack(call.handle);
    entries_.erase(handle);
    callbacks_.on_drop(handle, code);
  }
}

void upstream_queue::arm_drop_timer() {
  const auto moment = decide::next_drop_time(queue_);
  if (!moment) {
    drop_timer_.cancel();
    return;
  }
  drop_timer_.expires_after(support::time_until(*moment));
  drop_timer_.async_wait([this](asio::error_code error) {
    if (error) {
      return;
    }
    {
      const board::rcu_read_guard guard;
      decide::drop_expired(queue_, board_.gate, board_.admission.read(guard),
                           support::monotonic_now(), dropped_);
    }
    report_dropped();
    arm_drop_timer();
  });
}

void upstream_queue::backend_announced(bool cold) {
  asio::post(owner_.context, [this, cold] {
    limit_state_ = {};
    const auto now = support::monotonic_now();
    // A server that is already warm starts at its full limit.
    constexpr support::seconds long_ago{3600};
    limit_state_.ready_since = cold ? now : now - long_ago;
    control_limit(now);
    run_next(std::nullopt);
  });
}

void upstream_queue::drop_all(support::result_code code) {
  asio::post(owner_.context, [this, code] {
    std::vector<queue_handle> dropped;
    {
      const board::rcu_read_guard guard;
      const auto now = support::monotonic_now();
      for (const auto& [handle, entry] : entries_) {
        if (decide::remove(queue_, board_.gate, board_.admission.read(guard), entry.ticket, now)) {
          dropped.push_back(handle);
        }
      }
    }
    for (const auto& handle : dropped) {
      entries_.erase(handle);
      callbacks_.on_drop(handle, code);
    }
  });
}

void upstream_queue::arm_control_timer() {
  control_timer_.expires_after(decide::control_period);
  control_timer_.async_wait([this](asio::error_code error) {
    if (error) {
      return;
    }
    control();
    arm_control_timer();
  });
}

void upstream_queue::control() {
  const auto now = support::monotonic_now();
  for (auto& excess : board_.entry_excess) {
    decide::update_excess(excess);
  }
  {
    const board::rcu_read_guard guard;
    if (const auto& view = board_.admission.read(guard); view.adjusts_thresholds) {
      decide::adjust(board_.gate, view, controller_);
    }
  }
  if (now - last_limit_sample_ >= decide::limit_window) {
    control_limit(now);
  }
  run_next(std::nullopt);
}

void upstream_queue::control_limit(support::time_point now) {
  decide::limit_settings settings;
  std::uint32_t reported_slots = 0;
  {
    const board::rcu_read_guard guard;
    const auto& target = board_.backend.read(guard);
    const auto& view = board_.configuration.read(guard);
    if (!target.present) {
      return;
    }
    reported_slots = target.slots;
    settings.slots = target.slots;
    if (const auto service = view.snapshot.find_service(target.service)) {
      const auto& compiled = view.snapshot.service(*service);
      settings.slots = compiled.slots;
      settings.slow_start = compiled.limits.slow_start;
      settings.slot_use = compiled.limits.slot_use;
      settings.adaptive = compiled.limits.learns_limit;
    }
  }
  const auto sheds = board_.backend_sheds.exchange(0, std::memory_order_relaxed);
  const auto sample =
      decide::take_limit_sample(board_.gate, reported_slots, sheds, now - last_limit_sample_);
  last_limit_sample_ = now;
  board_.gate.limit.store(decide::update_limit(limit_state_, settings, sample, now),
                          std::memory_order_release);
}

} // namespace acaciasill::daemon

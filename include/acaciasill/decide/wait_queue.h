#ifndef ACACIASILL_DECIDE_WAIT_QUEUE_H
#define ACACIASILL_DECIDE_WAIT_QUEUE_H

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "acaciasill/decide/gate.h"

// Short queue in front of one backend server. One strand owns it; the gate's counters that it reads
// and changes are shared. Every operation takes logarithmic time and allocates nothing.
namespace acaciasill::decide {

struct wait_queue_state;

// Bounds of the number of calls that wait in front of one backend server. The maximum bounds
// memory.
inline constexpr std::uint32_t max_queue_capacity = 1024;
inline constexpr std::uint32_t min_queue_capacity = 16;
// Queue capacity per slot. It is sized for overload of a deep service that each request calls
// several times in sequence: refusing one call for lack of capacity loses the whole request and the
// work done for it. See docs/design/overload.md.
inline constexpr std::uint32_t queue_capacity_per_slot = 8;

// Returns the queue capacity for a backend server with this many slots. Thresholds keep the
// queueing delay near its target and deadlines bound it; the capacity is for bursts.
std::uint32_t queue_capacity_for(std::uint32_t slots);

// Identifies a waiting call until it is returned by next_from_queue, dropped or removed; never
// reused.
struct queue_ticket {
  std::uint64_t value = 0;

  bool operator==(const queue_ticket&) const = default;
};

// Call that has left the queue for any reason.
struct queued_call {
  request_facts request;
  // Caller's identifier of the call, as passed to enqueue.
  std::uint64_t handle = 0;
  support::duration waited{};

  bool operator==(const queued_call&) const = default;
};

// Call dropped by the queue. It has not run and has to be answered at once.
struct dropped_call {
  queued_call call;
  support::result_code code = support::result_code::queue_timeout;

  bool operator==(const dropped_call&) const = default;
};

// Waiting calls, with a fixed capacity.
class wait_queue {
public:
  // The capacity is an upper bound of gate_view::queue_capacity.
  wait_queue(std::uint32_t organisation_count, std::uint32_t capacity);
  wait_queue(wait_queue&&) noexcept;
  wait_queue& operator=(wait_queue&&) noexcept;
  ~wait_queue();

  wait_queue_state& state() { return *state_; }
  const wait_queue_state& state() const { return *state_; }

private:
  std::unique_ptr<wait_queue_state> state_;
};

// Enqueues a call for which admit returned wait. Call next_from_queue afterwards, since a slot may
// have become free. Returns nullopt if the call itself is refused; it is then the last of the
// dropped calls. A less important call may be dropped to make room. Dropped calls are appended.
std::optional<queue_ticket> enqueue(wait_queue& queue, gate& state, const gate_view& view,
                                    const request_facts& request, std::uint64_t handle,
                                    support::time_point now, std::vector<dropped_call>& dropped);

// Takes a slot and returns the call to run next, or nullopt if no slot is free, the stated rate
// does not allow a call now, or no call waits. Call it until it returns nullopt: after enqueue,
// after on_finish or on_cancel (with the organisation whose slot was released), after a change of a
// limit, and at next_permit_time while calls wait. Order: organisations below their guaranteed
// slots, the one furthest below first; then the most important rank of all, and within it the
// organisation with the fewest lent slots relative to its weight. Within one organisation the most
// important level goes first; among calls of similar importance the newest goes first under
// overload and the oldest otherwise.
std::optional<queued_call>
next_from_queue(wait_queue& queue, gate& state, const gate_view& view, support::time_point now,
                std::vector<dropped_call>& dropped,
                std::optional<std::uint32_t> finished_organisation = std::nullopt);

// Drops the calls whose time in the queue has expired and appends them. To be called at
// next_drop_time.
void drop_expired(wait_queue& queue, gate& state, const gate_view& view, support::time_point now,
                  std::vector<dropped_call>& dropped);

// Returns the earliest time at which a waiting call has to be dropped.
std::optional<support::time_point> next_drop_time(const wait_queue& queue);

// Removes a call whose caller has disconnected; returns false if it no longer waits.
bool remove(wait_queue& queue, gate& state, const gate_view& view, queue_ticket ticket,
            support::time_point now);

// Returns the number of waiting calls.
std::uint32_t size(const wait_queue& queue);

} // namespace acaciasill::decide

#endif

#ifndef ACACIASILL_DECIDE_WAIT_QUEUE_H
#define ACACIASILL_DECIDE_WAIT_QUEUE_H

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "acaciasill/decide/gate.h"

// The short queue in front of one backend server. One strand owns it; the gate's counters that it
// reads and changes are shared. Every operation takes logarithmic time and allocates nothing.
namespace acaciasill::decide {

struct wait_queue_state;

// The most calls that wait in front of one backend server, a bound on memory, and the least.
inline constexpr std::uint32_t most_queue_places = 1024;
inline constexpr std::uint32_t least_queue_places = 16;
// Calls that may wait for each slot. It answers overload of a deep service that each request calls
// several times in a row: one call without a place loses the request and what was done for it. From
// the sweep of places in docs/design/overload.md.
inline constexpr std::uint32_t queue_places_per_slot = 8;

// The places of the queue in front of a backend server with this many slots. Thresholds keep the
// wait near its target and deadlines end it; the places are for what comes at once.
std::uint32_t places_for(std::uint32_t slots);

// Names a waiting call until it is returned by next_from_queue, dropped or removed; never reused.
struct queue_ticket {
  std::uint64_t value = 0;

  bool operator==(const queue_ticket&) const = default;
};

// A call that left the queue, by whatever way.
struct queued_call {
  request_facts request;
  // The caller's own name for the call, as given to enqueue.
  std::uint64_t handle = 0;
  support::duration waited{};

  bool operator==(const queued_call&) const = default;
};

// A call that the queue has given up on; it has not run and is answered at once.
struct dropped_call {
  queued_call call;
  support::result_code code = support::result_code::queue_timeout;

  bool operator==(const dropped_call&) const = default;
};

// The waiting calls, with places for a fixed number of them.
class wait_queue {
public:
  // most_places bounds gate_view::queue_places.
  wait_queue(std::uint32_t organisation_count, std::uint32_t most_places);
  wait_queue(wait_queue&&) noexcept;
  wait_queue& operator=(wait_queue&&) noexcept;
  ~wait_queue();

  wait_queue_state& state() { return *state_; }
  const wait_queue_state& state() const { return *state_; }

private:
  std::unique_ptr<wait_queue_state> state_;
};

// Puts a call into the queue after admit said wait, and then calls next_from_queue, since a slot
// may have come free. Nothing is returned where the call itself is refused: it is then the last of
// the dropped calls. A less important call may be dropped in its place. Dropped calls are appended.
std::optional<queue_ticket> enqueue(wait_queue& queue, gate& state, const gate_view& view,
                                    const request_facts& request, std::uint64_t handle,
                                    support::time_point now, std::vector<dropped_call>& dropped);

// Takes a slot and returns the call that runs next, or nothing where no slot is free or no call
// waits. Call it until it returns nothing: after enqueue, after on_finish or on_cancel (with the
// organisation that gave its slot back), and after the limit has changed.
// Order: organisations under their guaranteed slots, the one furthest below first; then the most
// important rank of all, and within it the organisation with the least lent slots for its weight.
// Within one organisation the most important level goes first, and of calls about as important
// the newest under overload, the oldest otherwise.
std::optional<queued_call>
next_from_queue(wait_queue& queue, gate& state, const gate_view& view, support::time_point now,
                std::vector<dropped_call>& dropped,
                std::optional<std::uint32_t> finished_organisation = std::nullopt);

// Appends the calls whose time in the queue is over. Call it when next_drop_time has come.
void drop_expired(wait_queue& queue, gate& state, const gate_view& view, support::time_point now,
                  std::vector<dropped_call>& dropped);

// The earliest moment at which a waiting call has to be dropped.
std::optional<support::time_point> next_drop_time(const wait_queue& queue);

// Takes a call out whose caller has gone; false where it is no longer waiting.
bool remove(wait_queue& queue, gate& state, const gate_view& view, queue_ticket ticket,
            support::time_point now);

// The number of calls that wait.
std::uint32_t size(const wait_queue& queue);

} // namespace acaciasill::decide

#endif

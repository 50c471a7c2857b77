#ifndef ACACIASILL_DECIDE_GATE_H
#define ACACIASILL_DECIDE_GATE_H

#include <array>
#include <atomic>
#include <cstdint>
#include <vector>

#include "acaciasill/decide/advice.h"
#include "acaciasill/decide/level.h"
#include "acaciasill/support/random.h"
#include "acaciasill/support/result_code.h"
#include "acaciasill/support/time.h"

// Admission in front of one backend server. The counters are shared by all request threads; the
// view is immutable and is replaced as a whole.
namespace acaciasill::decide {

// One organisation's part of an upstream.
struct organisation_share {
  // The part of the slots, from 0 to 1, that is the organisation's whatever the others send.
  double guaranteed = 0.0;
  // The weight with which unused slots are lent; above 0.
  double weight = 1.0;

  bool operator==(const organisation_share&) const = default;
};

// What admission reads. Organisations are addressed by their index here; an index keeps its
// meaning for the life of the gate.
struct gate_view {
  std::vector<organisation_share> organisations;
  // The longest time in the queue.
  support::duration queue_bound = support::milliseconds(50);
  // The mean queueing delay above which the upstream counts as overloaded.
  support::duration queue_target = support::milliseconds(5);
  // The most calls that may wait.
  std::uint32_t queue_places = 64;
  // The part of the admitted calls that one step of recovery adds.
  double threshold_step = 0.1;
  // The part of queue_target below which the upstream recovers; between the two nothing opens.
  double exit_part = 0.5;
  // Whether thresholds of levels are adjusted; levels say nothing where ids do not travel.
  bool adjusts_thresholds = true;

  bool operator==(const gate_view&) const = default;
};

// What admission needs to know of a call.
struct request_facts {
  request_id id;
  decide::level level = 0;
  // The index in gate_view::organisations.
  std::uint32_t organisation = 0;
  support::time_point deadline{};
  bool holds_finished_work = false;
  // What sort of call it is; calls of one kind take about the same time.
  std::uint32_t kind = 0;

  bool operator==(const request_facts&) const = default;
};

// Service times are kept by kind of call in this many places, which other kinds may share.
inline constexpr std::uint32_t kind_places = 64;

// One organisation's counters at a gate.
struct alignas(64) organisation_counters {
  std::atomic<level> threshold{accept_all};
  std::atomic<std::uint32_t> in_flight{0};
  // Calls offered since the last adjustment, whatever their level.
  std::atomic<std::uint32_t> arrivals{0};
  // The least important level offered since the last adjustment.
  std::atomic<level> highest{0};
  caller_excess excess;
  // Calls offered since the last adjustment, by bucket of level.
  std::array<std::atomic<std::uint32_t>, bucket_count> offered{};
};

// The counters of one upstream. All are plain atomics; none is held across a decision.
struct gate {
  // Starts with all thresholds open and the given limit of calls in flight.
  explicit gate(std::uint32_t organisation_count, std::uint32_t initial_limit = 1);

  std::atomic<std::uint32_t> in_flight{0};
  std::atomic<std::uint32_t> waiting{0};
  // The effective limit of calls in flight, written by the control side.
  std::atomic<std::uint32_t> limit{1};
  std::atomic<bool> draining{false};
  // Whether the last adjustment found the upstream overloaded.
  std::atomic<bool> overloaded{false};
  // The smoothed time that the backend server takes for a call, of all kinds and by kind.
  std::atomic<std::uint32_t> service_time_us{0};
  std::array<std::atomic<std::uint32_t>, kind_places> kind_time_us{};
  // Figures since the last adjustment.
  std::atomic<std::uint32_t> started{0};
  std::atomic<std::uint32_t> finished{0};
  std::atomic<std::uint32_t> dropped{0};
  std::atomic<std::uint64_t> queue_delay_us{0};
  // Figures since the last window of the concurrency limit.
  std::atomic<std::uint32_t> window_finished{0};
  std::atomic<std::uint64_t> service_sum_us{0};
  std::atomic<std::uint32_t> peak_in_flight{0};
  std::vector<organisation_counters> organisations;
};

// What to do with a call.
enum class admission : std::uint8_t {
  run,    // It holds a slot now; on_finish or on_cancel gives the slot back.
  wait,   // Give it to enqueue at once.
  refuse, // Answer now with the code; it has not run.
};

// A decision about one call, also the load figures' part of its reply.
struct admit_decision {
  admission action = admission::refuse;
  support::result_code code = support::result_code::ok;
  // For refusals: when the caller should come back, with jitter.
  std::uint32_t retry_after_ms = 0;
  // The threshold to send back, in terms of path_level.
  level threshold = accept_all;

  bool operator==(const admit_decision&) const = default;
};

// Decides about a call that has reached the upstream's daemon. Codes of refusals: draining,
// deadline_exceeded, shed_at_upstream, share_exceeded, queue_full, unknown_organisation.
admit_decision admit(gate& state, const gate_view& view, const request_facts& request,
                     support::time_point now, support::random_source& random);

// Takes a slot if one is free and returns whether it did. admit and next_from_queue call it.
bool take_slot(gate& state, std::uint32_t organisation);

// Gives the slot of a call that ended by itself back. The service time runs from the moment that
// the call was handed to the backend server.
void on_finish(gate& state, std::uint32_t organisation, support::duration service_time,
               std::uint32_t kind = 0);

// Gives the slot of a call back that was cancelled or never reached the backend server; its time
// says nothing about the server.
void on_cancel(gate& state, std::uint32_t organisation);

// The refusal of a call with this code; counts it and sets retry_after and threshold.
admit_decision refuse(gate& state, const gate_view& view, const request_facts& request,
                      support::result_code code, support::random_source& random);

// The threshold that a reply to this call carries, in terms of path_level.
level reply_threshold(const gate& state, const request_facts& request);

// The time that a call of any kind is expected to take once it runs.
support::duration expected_service_time(const gate& state);

// The time that a call of this kind is expected to take; 0 where none has ended yet.
support::duration expected_service_time(const gate& state, std::uint32_t kind);

// The last moment at which the call may begin and still end in time with luck: half of its kind's
// expected time before its deadline. It answers chains of calls whose time is running out: long
// calls of one route must not speak for the short ones of another to the same server.
support::time_point last_useful_start(const gate& state, const request_facts& request);

// Lowers a remembered service time by a 16th: one that nobody confirms must not keep calls out for
// ever.
void forget_time(std::atomic<std::uint32_t>& remembered);

} // namespace acaciasill::decide

#endif

#ifndef ACACIASILL_DECIDE_GATE_H
#define ACACIASILL_DECIDE_GATE_H

#include <array>
#include <atomic>
#include <cstdint>
#include <vector>

#include "acaciasill/decide/level.h"
#include "acaciasill/decide/rate_limit.h"
#include "acaciasill/decide/retry_advice.h"
#include "acaciasill/support/random.h"
#include "acaciasill/support/result_code.h"
#include "acaciasill/support/time.h"

// Admission control in front of one backend server. All request threads share the counters; the
// view is immutable and is replaced as a whole.
namespace acaciasill::decide {

// Share of one organisation in an upstream.
struct organisation_share {
  // Guaranteed fraction of the slots, from 0 to 1, independent of the load of other organisations.
  double guaranteed = 0.0;
  // Weight for lending unused slots; greater than 0.
  double weight = 1.0;

  bool operator==(const organisation_share&) const = default;
};

// Settings that admission reads. Organisations are identified by their index here, which stays the
// same for the lifetime of the gate.
struct gate_view {
  std::vector<organisation_share> organisations;
  // Maximum time in the queue.
  support::duration queue_bound = support::milliseconds(50);
  // Mean queueing delay above which the upstream is considered overloaded.
  support::duration queue_target = support::milliseconds(5);
  // Maximum number of waiting calls.
  std::uint32_t queue_capacity = 64;
  // Fraction of the admitted calls by which one recovery step raises the budget.
  double threshold_step = 0.1;
  // Fraction of queue_target below which the upstream is considered recovering. Between this and
  // queue_target no threshold is raised.
  double recovery_target_fraction = 0.5;
  // True if thresholds are adjusted. Levels carry no information where request ids are not
  // propagated.
  bool adjusts_thresholds = true;

  bool operator==(const gate_view&) const = default;
};

// Properties of a call that admission needs.
struct request_facts {
  request_id id;
  decide::level level = 0;
  // Index in gate_view::organisations.
  std::uint32_t organisation = 0;
  support::time_point deadline{};
  bool holds_finished_work = false;
  // Kind of call; calls of one kind have similar service times.
  std::uint32_t kind = 0;

  bool operator==(const request_facts&) const = default;
};

// Size of the table of service times by kind of call; kinds beyond it share entries.
inline constexpr std::uint32_t gate_kind_table_size = 64;

// Counters of one organisation at a gate.
struct alignas(64) organisation_counters {
  std::atomic<level> threshold{accept_all};
  std::atomic<std::uint32_t> in_flight{0};
  // Calls offered since the last adjustment, at any level.
  std::atomic<std::uint32_t> arrivals{0};
  // Highest, i.e. least important, level offered since the last adjustment.
  std::atomic<level> highest_level{0};
  caller_excess excess;
  // Calls offered since the last adjustment, by bucket of level.
  std::array<std::atomic<std::uint32_t>, bucket_count> offered{};
};

// Counters of one upstream. All are atomics; no lock is held while a decision is made.
struct gate {
  // Starts with all thresholds open and the given concurrency limit.
  explicit gate(std::uint32_t organisation_count, std::uint32_t initial_limit = 1);

  std::atomic<std::uint32_t> in_flight{0};
  std::atomic<std::uint32_t> waiting{0};
  // Effective concurrency limit, written by the control thread.
  std::atomic<std::uint32_t> limit{1};
  // Limit on the rate at which calls start, stated by the backend server.
  rate_limiter rate;
  std::atomic<bool> draining{false};
  // True if the last adjustment found the upstream overloaded.
  std::atomic<bool> overloaded{false};
  // Smoothed service time of the backend server in microseconds, over all kinds of call and by
  // kind.
  std::atomic<std::uint32_t> service_time_us{0};
  std::array<std::atomic<std::uint32_t>, gate_kind_table_size> kind_time_us{};
  // Counters since the last adjustment.
  std::atomic<std::uint32_t> started{0};
  std::atomic<std::uint32_t> finished{0};
  std::atomic<std::uint32_t> dropped{0};
  std::atomic<std::uint64_t> queue_delay_us{0};
  // Counters since the last window of the concurrency limit.
  std::atomic<std::uint32_t> window_finished{0};
  std::atomic<std::uint64_t> service_sum_us{0};
  std::atomic<std::uint32_t> peak_in_flight{0};
  std::vector<organisation_counters> organisations;
};

// Action for a call.
enum class admission : std::uint8_t {
  run,    // The call holds a slot; on_finish or on_cancel releases it.
  wait,   // Pass the call to enqueue at once.
  refuse, // Answer now with the code; the call has not run.
};

// Decision about one call, including the values that its reply carries.
struct admit_decision {
  admission action = admission::refuse;
  support::result_code code = support::result_code::ok;
  // For refusals: delay after which the caller should retry, jittered.
  std::uint32_t retry_after_ms = 0;
  // Threshold to send back, in terms of path_level.
  level threshold = accept_all;

  bool operator==(const admit_decision&) const = default;
};

// Decides about a call that has arrived at the upstream's daemon. Result codes of refusals:
// draining, deadline_exceeded, shed_at_upstream, share_exceeded, queue_full, unknown_organisation.
admit_decision admit(gate& state, const gate_view& view, const request_facts& request,
                     support::time_point now, support::random_source& random);

// Takes a slot if one is free and the stated rate allows a call to start now; returns true if it
// did. Called by admit and next_from_queue.
bool take_slot(gate& state, std::uint32_t organisation, support::time_point now);

// Releases the slot of a call that has completed. The service time is measured from the handover
// to the backend server.
void on_finish(gate& state, std::uint32_t organisation, support::duration service_time,
               std::uint32_t kind = 0);

// Releases the slot of a call that was cancelled or never reached the backend server. Its duration
// is not recorded, since it does not reflect the speed of the server.
void on_cancel(gate& state, std::uint32_t organisation);

// Builds the refusal of a call with this code: counts it and sets retry_after_ms and the threshold.
admit_decision refuse(gate& state, const gate_view& view, const request_facts& request,
                      support::result_code code, support::random_source& random);

// Returns the threshold that a reply to this call carries, in terms of path_level.
level reply_threshold(const gate& state, const request_facts& request);

// Returns the number of calls that run at once if the upstream is fully used: the concurrency
// limit, or what the stated rate amounts to at the expected service time. At least 1.
std::uint32_t usable_slots(const gate& state);

// Returns the expected service time of a call of any kind.
support::duration expected_service_time(const gate& state);

// Returns the expected service time of a call of this kind; 0 if no call of the kind has completed
// yet.
support::duration expected_service_time(const gate& state, std::uint32_t kind);

// Returns the latest start time at which the call may still meet its deadline: the deadline minus
// half of the expected service time of its kind. This guards chains of calls that are running out
// of time. The time is kept by kind so that long calls of one route do not cause short calls of
// another route to the same server to be refused.
support::time_point last_useful_start(const gate& state, const request_facts& request);

// Decays a stored service time by 1/16, so that a stale estimate does not cause refusals
// indefinitely.
void decay_service_time(std::atomic<std::uint32_t>& service_time);

} // namespace acaciasill::decide

#endif

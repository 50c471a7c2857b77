#ifndef ACACIASILL_BOARD_CALL_BOARD_H
#define ACACIASILL_BOARD_CALL_BOARD_H

#include <atomic>
#include <cstdint>
#include <vector>

#include "acaciasill/board/generation_watch.h"
#include "acaciasill/board/rcu_cell.h"
#include "acaciasill/board/slot_registry.h"
#include "acaciasill/board/views.h"
#include "acaciasill/decide/call_recognition.h"
#include "acaciasill/decide/crash_suspects.h"
#include "acaciasill/decide/duplicates.h"
#include "acaciasill/decide/entry_thresholds.h"
#include "acaciasill/decide/gate.h"
#include "acaciasill/decide/parent_calls.h"
#include "acaciasill/decide/permits.h"
#include "acaciasill/decide/retry.h"
#include "acaciasill/decide/retry_advice.h"
#include "acaciasill/decide/returning.h"
#include "acaciasill/decide/routing.h"

// State of one daemon that is shared between its controllers, which publish views, and its request
// threads, which read the views and update counters.
namespace acaciasill::board {

// Capacities of the slot registries. Names beyond the capacity share the last slot.
inline constexpr std::uint32_t organisation_capacity = 256;
inline constexpr std::uint32_t service_capacity = 1024;
inline constexpr std::uint32_t route_capacity = 1024;

// Maximum number of organisations with rate limits of their own; others share the last permits.
inline constexpr std::uint32_t limit_capacity = 65536;

// Number of subjects of learned thresholds: the services come first, then the routes.
inline constexpr std::uint32_t subject_capacity = service_capacity + route_capacity;

// Maximum numbers of calls in flight for which the tables of duplicates and of parents are sized.
inline constexpr std::uint32_t duplicate_capacity = 16384;
inline constexpr std::uint32_t parent_capacity = 4096;

// All state shared by the request threads. Views are replaced as a whole; everything else is
// atomic.
struct call_board {
  call_board();

  slot_registry organisations{organisation_capacity};
  slot_registry services{service_capacity};
  slot_registry routes{route_capacity};
  slot_registry limited_organisations{limit_capacity};

  rcu_cell<configuration_view> configuration;
  rcu_cell<routing_view> routing;
  rcu_cell<decide::gate_view> admission;
  rcu_cell<backend_target> backend;
  rcu_cell<decide::crash_view> crashes;
  rcu_cell<decide::coordinator_view> coordinators;

  decide::gate gate;
  decide::entry_thresholds thresholds;
  decide::duplicate_table duplicates;
  decide::parent_table parents;
  std::vector<decide::retry_tokens> retries;
  std::vector<decide::spill_counters> spills;

  // Time left that first attempts arrive with, by the subject of their threshold.
  std::vector<decide::first_attempt_time> first_attempt_times;

  // Evidence of calls of the local backend server, by the slot of their route.
  std::vector<decide::call_evidence> call_evidence;

  // Ratio of refused to admitted calls at this entry, by organisation; determines the retry-after
  // time.
  std::vector<decide::caller_excess> entry_excess;

  // Permits that this daemon holds as a coordinator, by the slot of the organisation.
  std::vector<decide::permit_bucket> permit_buckets;

  // Time of the last message from another daemon.
  std::atomic<support::duration::rep> last_peer_contact{0};

  generation_watch generations;

  // Time until which the local backend server may work on requests that this daemon no longer
  // knows, because they ended without an answer or an earlier process of the daemon sent them.
  std::atomic<support::duration::rep> unknown_work_until{0};

  // True if the daemon is leaving and refuses new work.
  std::atomic<bool> leaving{false};
  // Number of calls from callers and from peers that have not been answered yet.
  std::atomic<std::uint64_t> calls_in_flight{0};
  // Number of calls refused because servers have crashed while they ran the same request.
  std::atomic<std::uint64_t> crashing_calls_refused{0};
  // Number of calls sent to the local backend server.
  std::atomic<std::uint64_t> calls_started{0};
  // Number of calls that the local backend server refused for load since the last limit window.
  std::atomic<std::uint32_t> backend_sheds{0};
};

} // namespace acaciasill::board

#endif

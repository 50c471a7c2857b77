#ifndef ACACIASILL_DECIDE_PARENT_CALLS_H
#define ACACIASILL_DECIDE_PARENT_CALLS_H

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>
#include <vector>

#include "acaciasill/decide/level.h"
#include "acaciasill/decide/retry.h"
#include "acaciasill/support/time.h"

// Table of the calls running in the local backend server (parents). Child calls that the server
// makes for the same request borrow from the retry attempts lent to the parent. A fixed-size table
// of atomics.
namespace acaciasill::decide {

// Number of services per parent whose thresholds are stored separately; further services share
// entries.
inline constexpr std::uint32_t thresholds_per_parent = 4;

// Stands for the hash of an organisation's name where none is known.
inline constexpr std::uint64_t no_organisation = 0;

// One running call, or several calls of the same request.
struct parent_cell {
  // Request id; 0 and 0 for a free cell.
  std::atomic<std::uint64_t> high{0};
  std::atomic<std::uint64_t> low{0};
  std::atomic<std::uint32_t> running{0};
  attempt_budget budget;
  std::atomic<std::uint32_t> spent{0};
  // Threshold of the latest reply of each called service, in terms of path_level. Earlier replies
  // are discarded: a request that makes many calls would otherwise report an overload that has
  // passed.
  std::array<std::atomic<level>, thresholds_per_parent> thresholds{};
  std::atomic<bool> overloaded_below{false};
  // True if a child call has completed, i.e. the request holds finished work.
  std::atomic<bool> holds_finished_work{false};
  // Rank of the request's priority class, which its child calls inherit.
  std::atomic<std::uint8_t> rank{0};
  // Hash of the name of the request's organisation, which its child calls inherit; no_organisation
  // if calls of several organisations share the cell.
  std::atomic<std::uint64_t> organisation{no_organisation};
  // Deadline of the request, as passed to the backend server.
  std::atomic<support::duration::rep> deadline{0};
  // Time at which the call started or its latest child call ended.
  std::atomic<support::duration::rep> last_active{0};
  // Number of child calls in progress.
  std::atomic<std::uint32_t> children{0};
  // Index of the cell in running_cells, plus one; 0 if it is not listed there.
  std::atomic<std::uint32_t> listed_at{0};
};

// Table with room for at least this many concurrent calls.
struct parent_table {
  explicit parent_table(std::uint32_t max_calls);

  std::vector<parent_cell> cells;
  std::uint32_t group_mask = 0;
  // Indices of the cells in use plus one, or 0 for a free entry, from the beginning of the array up
  // to running_end.
  std::vector<std::atomic<std::uint32_t>> running_cells;
  std::atomic<std::uint32_t> running_end{0};

  static constexpr std::uint32_t group_size = 8;
};

// Reference to a cell, valid while its call runs.
struct parent_ref {
  std::uint32_t cell = 0;
  // Epoch of the cell's budget, by which late replies to an earlier request are detected.
  std::uint32_t epoch = 0;

  bool operator==(const parent_ref&) const = default;
};

// Values that the reply to a completed call carries.
struct parent_summary {
  std::uint32_t unused_attempts = 0;
  std::uint32_t spent_attempts = 0;
  level threshold = accept_all;
  bool overloaded_below = false;

  bool operator==(const parent_summary&) const = default;
};

// Threshold reported by the reply to a child call.
struct child_threshold {
  // Slot of the service that replied.
  std::uint32_t service = 0;
  level threshold = accept_all;

  bool operator==(const child_threshold&) const = default;
};

// Properties of a call that starts in the local backend server.
struct parent_facts {
  std::uint32_t lent_attempts = 0;
  bool holds_finished_work = false;
  std::uint8_t rank = 0;
  support::time_point deadline{};
  support::time_point started{};
  // Hash of the name of the request's organisation.
  std::uint64_t organisation = 0;

  bool operator==(const parent_facts&) const = default;
};

// Enters a call that starts in the local backend server, with the attempts lent to it. Returns
// nullopt if the table is full; the attempts then count as spent.
std::optional<parent_ref> open_parent(parent_table& table, const request_id& id,
                                      const parent_facts& facts);

// Finds the running call of a request, for a child call that the backend server makes.
std::optional<parent_ref> find_parent(const parent_table& table, const request_id& id);

// Number of child calls in progress that a running call normally accounts for, since backend
// servers make most of their calls one after the other.
inline constexpr std::uint32_t max_usual_children = 2;

// Largest number of child calls in progress that a running call may account for.
inline constexpr std::uint32_t max_children = 16;

// What is known of a request that may be a child call.
struct child_facts {
  support::time_point deadline{};
  // Request that the previous call on the same connection belonged to.
  std::optional<request_id> previous;
  // Whether calls of this kind expire with the call that makes them.
  bool expires_with_parent = false;
  // Largest number of child calls in progress that one running call accounts for.
  std::uint32_t max_siblings = max_usual_children;

  bool operator==(const child_facts&) const = default;
};

// The running call that most likely made a child call.
struct likely_parent {
  parent_ref parent;
  request_id id;
  // Whether a running call expires at the same time as the child call, to the precision of the
  // stated time, or at a time shifted from it by an arbitrary amount.
  bool has_deadline_of_running = false;
  bool has_shifted_deadline = false;
  // Whether all running calls that do not expire before the child call belong to one organisation.
  bool has_certain_organisation = true;

  bool operator==(const likely_parent&) const = default;
};

// Finds the running call that most likely made a child call: one that expires at the same time, if
// calls of this kind do, else that of the previous call on the connection, else the one that was
// active last. A running call
// accounts for a limited number of child calls at a time, and for none that expires later. Returns
// nullopt if no running call qualifies.
std::optional<likely_parent> find_likely_parent(const parent_table& table,
                                                const child_facts& child);

// Returns the id of the request that the cell belongs to.
request_id id_of(const parent_table& table, parent_ref parent);

// Records the start of a child call. Takes the attempts to lend to it out of the parent's budget
// and returns their number.
std::uint32_t borrow_from_parent(parent_table& table, parent_ref parent);

// Processes the reply to a child call: returns its unused attempts to the budget and records its
// spent attempts and, if present, the threshold of the called service. The threshold in `reply` is
// not read.
void return_to_parent(parent_table& table, parent_ref parent, std::uint32_t lent,
                      const parent_summary& reply, bool completed,
                      std::optional<child_threshold> learned = std::nullopt,
                      support::time_point now = {});

// Ends a call. Attempts lent to children that have not replied count as spent.
parent_summary close_parent(parent_table& table, parent_ref parent, std::uint32_t lent_attempts);

} // namespace acaciasill::decide

#endif

#ifndef ACACIASILL_DECIDE_PARENTS_H
#define ACACIASILL_DECIDE_PARENTS_H

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>
#include <vector>

#include "acaciasill/decide/level.h"
#include "acaciasill/decide/retry.h"

// The calls that run in the local backend server, so that the calls which it makes for the same
// request borrow from the attempts that were lent to it. A fixed-size table of atomics.
namespace acaciasill::decide {

// Services below a running call whose thresholds are kept apart; more of them share places.
inline constexpr std::uint32_t thresholds_per_parent = 4;

// One running call, or several of the same request.
struct parent_cell {
  // The request's id; 0 and 0 for a free cell.
  std::atomic<std::uint64_t> high{0};
  std::atomic<std::uint64_t> low{0};
  std::atomic<std::uint32_t> running{0};
  attempt_budget budget;
  std::atomic<std::uint32_t> spent{0};
  // The threshold of the latest reply of each service called, in terms of path_level. An earlier
  // one says nothing any more: a request that makes many calls would tell its caller of an overload
  // that has passed.
  std::array<std::atomic<level>, thresholds_per_parent> thresholds{};
  std::atomic<bool> overloaded_below{false};
  // Whether a child call has completed, so that the request holds finished work.
  std::atomic<bool> holds_finished_work{false};
  // The rank of the request's priority class, which the calls made for it have too.
  std::atomic<std::uint8_t> rank{0};
};

// The table, made for at least this many calls that run at once.
struct parent_table {
  explicit parent_table(std::uint32_t most_calls);

  std::vector<parent_cell> cells;
  std::uint32_t group_mask = 0;

  static constexpr std::uint32_t group_size = 8;
};

// Names a cell while its call runs.
struct parent_ref {
  std::uint32_t cell = 0;
  // The epoch of the cell's budget; a late reply to an earlier request has another one.
  std::uint32_t epoch = 0;

  bool operator==(const parent_ref&) const = default;
};

// What a call that has ended says in its reply.
struct parent_summary {
  std::uint32_t unused_attempts = 0;
  std::uint32_t spent_attempts = 0;
  level threshold = accept_all;
  bool overloaded_below = false;

  bool operator==(const parent_summary&) const = default;
};

// What the reply to a child call tells of the path below it.
struct child_threshold {
  // The slot of the service that replied.
  std::uint32_t service = 0;
  level threshold = accept_all;

  bool operator==(const child_threshold&) const = default;
};

// Enters a call that starts in the local backend server with the attempts lent to it; nothing where
// the table is full, and its attempts are then spent.
std::optional<parent_ref> open_parent(parent_table& table, const request_id& id,
                                      std::uint32_t lent_attempts, bool holds_finished_work,
                                      std::uint8_t rank = 0);

// The running call of a request, for a child call that the backend server makes.
std::optional<parent_ref> find_parent(const parent_table& table, const request_id& id);

// Takes out what a child call is lent.
std::uint32_t borrow_from_parent(parent_table& table, parent_ref parent);

// Takes in a child's reply: attempts that it did not use, what it spent, and the threshold of the
// service that it called, where the reply brought one. The summary's own threshold is not read.
void return_to_parent(parent_table& table, parent_ref parent, std::uint32_t lent,
                      const parent_summary& reply, bool completed,
                      std::optional<child_threshold> learned = std::nullopt);

// Ends a call. Attempts whose children have not replied are spent.
parent_summary close_parent(parent_table& table, parent_ref parent, std::uint32_t lent_attempts);

} // namespace acaciasill::decide

#endif

#include "acaciasill/decide/parent_calls.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace acaciasill::decide {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
// Value of `running` while a cell is being initialised.
constexpr std::uint32_t initialising = ~std::uint32_t{0};
// Difference between the deadlines of a call and of its child call that counts as equal: the child
// states whole milliseconds, and its transfer takes time.
constexpr support::milliseconds deadline_precision{2};
// Shift of a deadline by which the frequency of accidental matches is determined.
constexpr support::milliseconds deadline_shift{20};

std::uint32_t first_cell(const parent_table& table, const request_id& id) {
  const auto group = static_cast<std::uint32_t>(hash_request(id) >> 32U) & table.group_mask;
  return group * parent_table::group_size;
}

bool is_running(const parent_cell& cell, const request_id& id) {
  const auto running = cell.running.load(std::memory_order_acquire);
  return running != 0 && running != initialising && cell.low.load(relaxed) == id.low &&
         cell.high.load(relaxed) == id.high;
}

level strictest(const parent_cell& cell) {
  level result = accept_all;
  for (const auto& threshold : cell.thresholds) {
    result = std::min(result, threshold.load(relaxed));
  }
  return result;
}

bool join_running(parent_cell& cell, const request_id& id, const parent_facts& facts) {
  auto running = cell.running.load(std::memory_order_acquire);
  while (running != 0 && running != initialising) {
    if (!cell.running.compare_exchange_weak(running, running + 1, std::memory_order_acq_rel)) {
      continue;
    }
    // The increment keeps the cell from being reused, but it may have been reused before.
    if (is_running(cell, id)) {
      add_attempts(cell.budget, budget_epoch(cell.budget), facts.lent_attempts);
      if (cell.organisation.load(relaxed) != facts.organisation) {
        cell.organisation.store(no_organisation, relaxed);
      }
      return true;
    }
    cell.running.fetch_sub(1, std::memory_order_acq_rel);
    return false;
  }
  return false;
}

// Lists a cell among the running ones. A cell that finds no room is found only by its request's id.
void list_cell(parent_table& table, std::uint32_t cell) {
  for (std::uint32_t index = 0; index < table.running_cells.size(); ++index) {
    std::uint32_t free = 0;
    if (table.running_cells[index].load(relaxed) != 0 ||
        !table.running_cells[index].compare_exchange_strong(free, cell + 1)) {
      continue;
    }
    table.cells[cell].listed_at.store(index + 1, relaxed);
    auto end = table.running_end.load(relaxed);
    while (end < index + 1 && !table.running_end.compare_exchange_weak(end, index + 1)) {
    }
    return;
  }
}

void unlist_cell(parent_table& table, parent_cell& cell) {
  if (const auto listed = cell.listed_at.exchange(0, relaxed); listed != 0) {
    table.running_cells[listed - 1].store(0, std::memory_order_release);
  }
}

bool initialise_cell(parent_cell& cell, const request_id& id, const parent_facts& facts) {
  std::uint32_t free = 0;
  if (!cell.running.compare_exchange_strong(free, initialising, std::memory_order_acq_rel)) {
    return false;
  }
  cell.high.store(id.high, relaxed);
  cell.low.store(id.low, relaxed);
  reset_budget(cell.budget, facts.lent_attempts);
  cell.spent.store(0, relaxed);
  for (auto& threshold : cell.thresholds) {
    threshold.store(accept_all, relaxed);
  }
  cell.overloaded_below.store(false, relaxed);
  cell.holds_finished_work.store(facts.holds_finished_work, relaxed);
  cell.rank.store(facts.rank, relaxed);
  cell.organisation.store(facts.organisation, relaxed);
  cell.deadline.store(facts.deadline.time_since_epoch().count(), relaxed);
  cell.last_active.store(facts.started.time_since_epoch().count(), relaxed);
  cell.children.store(0, relaxed);
  cell.running.store(1, std::memory_order_release);
  return true;
}

parent_ref ref_to(const parent_table& table, std::uint32_t cell) {
  return {cell, budget_epoch(table.cells[cell].budget)};
}

} // namespace

parent_table::parent_table(std::uint32_t max_calls)
    : cells(static_cast<std::size_t>(std::bit_ceil(2 * max_calls / group_size + 1)) * group_size),
      group_mask(static_cast<std::uint32_t>(cells.size() / group_size) - 1),
      running_cells(max_calls) {}

std::optional<parent_ref> find_parent(const parent_table& table, const request_id& id) {
  const auto start = first_cell(table, id);
  for (auto cell = start; cell < start + parent_table::group_size; ++cell) {
    if (is_running(table.cells[cell], id)) {
      return ref_to(table, cell);
    }
  }
  return std::nullopt;
}

std::optional<parent_ref> open_parent(parent_table& table, const request_id& id,
                                      const parent_facts& facts) {
  if (const auto present = find_parent(table, id);
      present && join_running(table.cells[present->cell], id, facts)) {
    return ref_to(table, present->cell);
  }
  const auto start = first_cell(table, id);
  for (auto cell = start; cell < start + parent_table::group_size; ++cell) {
    if (initialise_cell(table.cells[cell], id, facts)) {
      list_cell(table, cell);
      return ref_to(table, cell);
    }
  }
  return std::nullopt;
}

std::optional<likely_parent> find_likely_parent(const parent_table& table,
                                                const child_facts& child) {
  // In ascending order of weight. Of equally likely calls, the one that was active last is chosen.
  enum class evidence : std::uint8_t { active, previous, same_deadline };
  const auto is_near = [](support::duration difference) {
    return difference >= -deadline_precision && difference <= deadline_precision;
  };
  std::optional<std::uint32_t> best;
  std::pair<evidence, support::duration::rep> best_rating{};
  // Organisation of the running calls seen so far.
  std::optional<std::uint64_t> organisation;
  likely_parent result;
  const auto end = table.running_end.load(std::memory_order_acquire);
  for (std::uint32_t index = 0; index < end; ++index) {
    const auto listed = table.running_cells[index].load(std::memory_order_acquire);
    if (listed == 0) {
      continue;
    }
    const auto& cell = table.cells[listed - 1];
    const auto running = cell.running.load(std::memory_order_acquire);
    const support::duration difference =
        support::duration(cell.deadline.load(relaxed)) - child.deadline.time_since_epoch();
    if (running == 0 || running == initialising || difference < -deadline_precision) {
      continue;
    }
    const bool has_same_deadline = is_near(difference);
    result.has_deadline_of_running = result.has_deadline_of_running || has_same_deadline;
    result.has_shifted_deadline =
        result.has_shifted_deadline || is_near(difference - deadline_shift);
    const auto own_organisation = cell.organisation.load(relaxed);
    result.has_certain_organisation = result.has_certain_organisation &&
                                      organisation.value_or(own_organisation) == own_organisation;
    organisation = own_organisation;
    if (cell.children.load(relaxed) >= child.max_siblings * running) {
      continue;
    }
    const request_id id{cell.high.load(relaxed), cell.low.load(relaxed)};
    auto kind = child.previous == id ? evidence::previous : evidence::active;
    kind = child.expires_with_parent && has_same_deadline ? evidence::same_deadline : kind;
    const std::pair rating{kind, cell.last_active.load(relaxed)};
    if (!best || rating > best_rating) {
      best = listed - 1;
      best_rating = rating;
      result.id = id;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  result.parent = ref_to(table, *best);
  return result;
}

request_id id_of(const parent_table& table, parent_ref parent) {
  const auto& cell = table.cells[parent.cell];
  return {cell.high.load(relaxed), cell.low.load(relaxed)};
}

std::uint32_t borrow_from_parent(parent_table& table, parent_ref parent) {
  auto& cell = table.cells[parent.cell];
  if (budget_epoch(cell.budget) != parent.epoch) {
    return 0;
  }
  cell.children.fetch_add(1, relaxed);
  return lend_attempts(cell.budget);
}

void return_to_parent(parent_table& table, parent_ref parent, std::uint32_t lent,
                      const parent_summary& reply, bool completed,
                      std::optional<child_threshold> learned, support::time_point now) {
  auto& cell = table.cells[parent.cell];
  if (budget_epoch(cell.budget) != parent.epoch) {
    return;
  }
  cell.children.fetch_sub(1, relaxed);
  cell.last_active.store(now.time_since_epoch().count(), relaxed);
  return_attempts(cell.budget, lent, reply.unused_attempts, parent.epoch);
  cell.spent.fetch_add(reply.spent_attempts, relaxed);
  if (learned) {
    cell.thresholds[learned->service % thresholds_per_parent].store(learned->threshold, relaxed);
  }
  if (reply.overloaded_below) {
    cell.overloaded_below.store(true, relaxed);
  }
  if (completed) {
    cell.holds_finished_work.store(true, relaxed);
  }
}

parent_summary close_parent(parent_table& table, parent_ref parent, std::uint32_t lent_attempts) {
  auto& cell = table.cells[parent.cell];
  parent_summary summary;
  summary.unused_attempts = take_attempts(cell.budget, lent_attempts);
  summary.spent_attempts = cell.spent.load(relaxed);
  summary.threshold = strictest(cell);
  summary.overloaded_below = cell.overloaded_below.load(relaxed);
  if (cell.running.load(relaxed) == 1) {
    unlist_cell(table, cell);
  }
  cell.running.fetch_sub(1, std::memory_order_acq_rel);
  return summary;
}

} // namespace acaciasill::decide

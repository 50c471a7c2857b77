#include "acaciasill/decide/parent_calls.h"

#include <algorithm>
#include <bit>

namespace acaciasill::decide {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
// Value of `running` while a cell is being initialised.
constexpr std::uint32_t initialising = ~std::uint32_t{0};

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

bool join_running(parent_cell& cell, const request_id& id, std::uint32_t lent_attempts) {
  auto running = cell.running.load(std::memory_order_acquire);
  while (running != 0 && running != initialising) {
    if (!cell.running.compare_exchange_weak(running, running + 1, std::memory_order_acq_rel)) {
      continue;
    }
    // The increment keeps the cell from being reused, but it may have been reused before.
    if (is_running(cell, id)) {
      add_attempts(cell.budget, budget_epoch(cell.budget), lent_attempts);
      return true;
    }
    cell.running.fetch_sub(1, std::memory_order_acq_rel);
    return false;
  }
  return false;
}

bool initialise_cell(parent_cell& cell, const request_id& id, std::uint32_t lent_attempts,
                     bool holds_finished_work, std::uint8_t rank) {
  std::uint32_t free = 0;
  if (!cell.running.compare_exchange_strong(free, initialising, std::memory_order_acq_rel)) {
    return false;
  }
  cell.high.store(id.high, relaxed);
  cell.low.store(id.low, relaxed);
  reset_budget(cell.budget, lent_attempts);
  cell.spent.store(0, relaxed);
  for (auto& threshold : cell.thresholds) {
    threshold.store(accept_all, relaxed);
  }
  cell.overloaded_below.store(false, relaxed);
  cell.holds_finished_work.store(holds_finished_work, relaxed);
  cell.rank.store(rank, relaxed);
  cell.running.store(1, std::memory_order_release);
  return true;
}

parent_ref ref_to(const parent_table& table, std::uint32_t cell) {
  return {cell, budget_epoch(table.cells[cell].budget)};
}

} // namespace

parent_table::parent_table(std::uint32_t max_calls)
    : cells(static_cast<std::size_t>(std::bit_ceil(2 * max_calls / group_size + 1)) * group_size),
      group_mask(static_cast<std::uint32_t>(cells.size() / group_size) - 1) {}

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
                                      std::uint32_t lent_attempts, bool holds_finished_work,
                                      std::uint8_t rank) {
  if (const auto present = find_parent(table, id);
      present && join_running(table.cells[present->cell], id, lent_attempts)) {
    return ref_to(table, present->cell);
  }
  const auto start = first_cell(table, id);
  for (auto cell = start; cell < start + parent_table::group_size; ++cell) {
    if (initialise_cell(table.cells[cell], id, lent_attempts, holds_finished_work, rank)) {
      return ref_to(table, cell);
    }
  }
  return std::nullopt;
}

std::uint32_t borrow_from_parent(parent_table& table, parent_ref parent) {
  auto& budget = table.cells[parent.cell].budget;
  return budget_epoch(budget) == parent.epoch ? lend_attempts(budget) : 0;
}

void return_to_parent(parent_table& table, parent_ref parent, std::uint32_t lent,
                      const parent_summary& reply, bool completed,
                      std::optional<child_threshold> learned) {
  auto& cell = table.cells[parent.cell];
  if (budget_epoch(cell.budget) != parent.epoch) {
    return;
  }
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
  cell.running.fetch_sub(1, std::memory_order_acq_rel);
  return summary;
}

} // namespace acaciasill::decide

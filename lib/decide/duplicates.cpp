#include "acaciasill/decide/duplicates.h"

#include <bit>
#include <optional>

#include "acaciasill/support/hash.h"

namespace acaciasill::decide {

namespace {

// Set in a cell once its call is known to be the first.
constexpr std::uint64_t confirmed_bit = 1;

std::uint64_t unconfirmed(call_fingerprint call) {
  return call & ~confirmed_bit;
}

std::optional<std::uint32_t> claim_cell(duplicate_table& table, std::uint32_t start,
                                        call_fingerprint call) {
  for (std::uint32_t cell = start; cell < start + duplicate_table::group_size; ++cell) {
    std::uint64_t expected = 0;
    if (table.cells[cell].compare_exchange_strong(expected, unconfirmed(call))) {
      return cell;
    }
  }
  return std::nullopt;
}

// State of another cell of the group for the same call.
enum class cell_conflict : std::uint8_t { none, wait_for_other, withdraw };

cell_conflict find_conflict(const duplicate_table& table, std::uint32_t start, std::uint32_t own,
                            call_fingerprint call) {
  cell_conflict found = cell_conflict::none;
  for (std::uint32_t cell = start; cell < start + duplicate_table::group_size; ++cell) {
    const auto value = table.cells[cell].load();
    if (cell == own || unconfirmed(value) != unconfirmed(call)) {
      continue;
    }
    if ((value & confirmed_bit) != 0 || cell < own) {
      return cell_conflict::withdraw;
    }
    found = cell_conflict::wait_for_other;
  }
  return found;
}

bool is_confirmed(const duplicate_table& table, std::uint32_t start, call_fingerprint call) {
  for (std::uint32_t cell = start; cell < start + duplicate_table::group_size; ++cell) {
    if (table.cells[cell].load() == (unconfirmed(call) | confirmed_bit)) {
      return true;
    }
  }
  return false;
}

} // namespace

duplicate_table::duplicate_table(std::uint32_t max_calls)
    // Twice the capacity, so that groups rarely overflow.
    : cells(static_cast<std::size_t>(std::bit_ceil(2 * max_calls / group_size + 1)) * group_size),
      group_mask(static_cast<std::uint32_t>(cells.size() / group_size) - 1) {}

call_fingerprint fingerprint(const request_id& id, std::string_view service,
                             std::string_view method, std::string_view target,
                             std::string_view idempotency_key) {
  auto mixed = idempotency_key.empty() ? hash_request(id) : support::hash64(idempotency_key);
  mixed = support::hash64(service, mixed);
  mixed = support::hash64(method, mixed);
  mixed = support::hash64(target, mixed);
  return unconfirmed(mixed) == 0 ? 2 : mixed;
}

duplicate_ticket begin_call(duplicate_table& table, call_fingerprint call) {
  const auto group = static_cast<std::uint32_t>(call >> 32U) & table.group_mask;
  const auto start = group * duplicate_table::group_size;
  if (is_confirmed(table, start, call)) {
    return {duplicate_check::duplicate, 0};
  }
  const auto own = claim_cell(table, start, call);
  if (!own) {
    return {duplicate_check::untracked, 0};
  }
  // Each thread writes its cell before it reads the others, so that of two threads at least one
  // sees the other. The thread with the later cell withdraws; the one with the earlier cell spins
  // until it has, which takes a few reads.
  while (true) {
    const auto conflict = find_conflict(table, start, *own, call);
    if (conflict == cell_conflict::withdraw) {
      table.cells[*own].store(0);
      return {duplicate_check::duplicate, 0};
    }
    if (conflict == cell_conflict::none) {
      table.cells[*own].store(unconfirmed(call) | confirmed_bit);
      return {duplicate_check::first, *own};
    }
  }
}

void end_call(duplicate_table& table, const duplicate_ticket& ticket) {
  table.cells[ticket.cell].store(0);
}

} // namespace acaciasill::decide

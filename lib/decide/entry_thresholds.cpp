#include "acaciasill/decide/entry_thresholds.h"

#include <algorithm>

namespace acaciasill::decide {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
constexpr unsigned first_step_shift = hash_bits - 6;
constexpr std::uint32_t loosening_divisor = 16;
// Minimum rise of a threshold for a looser reply.
constexpr level min_rise = level{1} << 12U;

std::uint32_t milliseconds_of(support::time_point now) {
  return static_cast<std::uint32_t>(support::whole_milliseconds(now.time_since_epoch()));
}

std::uint64_t pack(level threshold, std::uint32_t stamp) {
  return (std::uint64_t{threshold} << 32U) | stamp;
}

// Returns the threshold of a cell, loosened according to its age.
level loosened_by_age(std::uint64_t cell, std::uint32_t stamp) {
  if (cell == 0) {
    return accept_all;
  }
  const auto threshold = static_cast<level>(cell >> 32U);
  const auto age = stamp - static_cast<std::uint32_t>(cell);
  // A time before the last change is treated as age 0.
  if (age > std::uint32_t{1} << 31U) {
    return threshold;
  }
  const auto steps = age / static_cast<std::uint32_t>(ageing_period.count());
  if (steps == 0) {
    return threshold;
  }
  if (steps > 32 - first_step_shift) {
    return accept_all;
  }
  const auto loosened =
      std::uint64_t{threshold} +
      ((std::uint64_t{1} << (first_step_shift + steps)) - (std::uint64_t{1} << first_step_shift));
  return static_cast<level>(std::min<std::uint64_t>(loosened, accept_all));
}

level merge_reply(level before, level reply) {
  if (reply < before) {
    return reply;
  }
  const auto difference = reply - before;
  return before + std::max(difference / loosening_divisor, std::min(difference, min_rise));
}

} // namespace

level entry_threshold(const entry_thresholds& table, std::uint32_t subject,
                      std::uint32_t organisation, support::time_point now) {
  if (subject >= table.subjects || organisation >= table.organisations) {
    return accept_all;
  }
  const auto index = static_cast<std::size_t>(subject) * table.organisations + organisation;
  return loosened_by_age(table.cells[index].load(relaxed), milliseconds_of(now));
}

bool shed_at_entry(const entry_thresholds& table, std::uint32_t subject, std::uint32_t organisation,
                   level request, support::time_point now) {
  return !admits(entry_threshold(table, subject, organisation, now), path_level(request));
}

void record_threshold(entry_thresholds& table, std::uint32_t subject, std::uint32_t organisation,
                      level reply_threshold, support::time_point now) {
  if (subject >= table.subjects || organisation >= table.organisations) {
    return;
  }
  const auto stamp = milliseconds_of(now);
  auto& cell = table.cells[static_cast<std::size_t>(subject) * table.organisations + organisation];
  auto before = cell.load(relaxed);
  while (true) {
    const auto present = loosened_by_age(before, stamp);
    if (present == accept_all && reply_threshold == accept_all) {
      return;
    }
    if (cell.compare_exchange_weak(before, pack(merge_reply(present, reply_threshold), stamp),
                                   relaxed)) {
      return;
    }
  }
}

} // namespace acaciasill::decide

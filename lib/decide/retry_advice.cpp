#include "acaciasill/decide/retry_advice.h"

#include <algorithm>

namespace acaciasill::decide {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
constexpr std::uint8_t largest_rank = 7;
constexpr double min_delay_ms = 100.0;
constexpr double max_delay_ms = 2000.0;
// The excess decays in each period by 1 / 2^4 and a constant.
constexpr std::uint32_t reduction_shift = 4;
constexpr std::uint32_t reduction_constant = 2;
// An excess at or below this is reset to 0, so that the decay terminates.
constexpr std::uint32_t negligible_percent = 20;
constexpr double max_percent = 5000.0;

} // namespace

void record_admitted(caller_excess& excess) {
  excess.admitted.fetch_add(1, relaxed);
}

void record_refused(caller_excess& excess) {
  excess.refused.fetch_add(1, relaxed);
}

void update_excess(caller_excess& excess) {
  const double refused = excess.refused.exchange(0, relaxed);
  const double admitted = std::max<double>(1.0, excess.admitted.exchange(0, relaxed));
  const auto present =
      static_cast<std::uint32_t>(std::min(max_percent, 100.0 * refused / admitted));
  const auto before = excess.ratio_percent.load(relaxed);
  const auto reduction = (before >> reduction_shift) + reduction_constant;
  const auto reduced = before > reduction + negligible_percent ? before - reduction : 0;
  excess.ratio_percent.store(std::max(present, reduced), relaxed);
}

std::uint32_t retry_after_ms(const caller_excess& excess, std::uint8_t rank,
                             support::random_source& random) {
  const double importance = std::min(rank, largest_rank) / static_cast<double>(largest_rank);
  const double part = importance * excess.ratio_percent.load(relaxed) / 100.0;
  const double middle = std::min(max_delay_ms, min_delay_ms * (1.0 + part));
  return static_cast<std::uint32_t>(middle * (0.5 + support::uniform_unit(random)));
}

} // namespace acaciasill::decide

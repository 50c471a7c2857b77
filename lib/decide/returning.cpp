#include "acaciasill/decide/returning.h"

#include <algorithm>

namespace acaciasill::decide {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
// Time after which the longest time left is replaced by that of the next request if no request has
// reached it.
constexpr std::uint32_t longest_time_expiry_ms = 5000;

} // namespace

bool is_returning(first_attempt_time& first, support::milliseconds time_left,
                  support::time_point now) {
  const auto present = static_cast<std::uint32_t>(std::max<std::int64_t>(0, time_left.count()));
  const auto stamp =
      static_cast<std::uint32_t>(support::whole_milliseconds(now.time_since_epoch()));
  const auto longest = first.longest_ms.load(relaxed);
  const bool is_expired = stamp - first.seen_ms.load(relaxed) > longest_time_expiry_ms;
  if (present >= longest || is_expired) {
    first.longest_ms.store(present, relaxed);
    first.seen_ms.store(stamp, relaxed);
    return false;
  }
  return present + min_retry_pause.count() <= longest;
}

} // namespace acaciasill::decide

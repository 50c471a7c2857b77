#ifndef ACACIASILL_SUPPORT_RANDOM_H
#define ACACIASILL_SUPPORT_RANDOM_H

#include <cstdint>
#include <random>

#include "acaciasill/support/time.h"

namespace acaciasill::support {

// Random number generator that decision functions receive as an argument, so that the same seed
// gives the same decisions.
using random_source = std::mt19937_64;

// Returns a uniformly distributed number in [0, 1).
inline double uniform_unit(random_source& random) {
  constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53, for a 53-bit mantissa.
  return static_cast<double>(random() >> 11U) * scale;
}

// Returns a uniformly distributed integer in [0, bound). The bound must be at least 1.
inline std::uint64_t uniform_below(random_source& random, std::uint64_t bound) {
  return static_cast<std::uint64_t>(uniform_unit(random) * static_cast<double>(bound));
}

// Returns a random duration from half the pause up to the whole pause, which prevents synchronised
// retries and polls.
inline duration jittered(duration pause, random_source& random) {
  const double factor = 0.5 + uniform_unit(random) / 2;
  return duration(static_cast<std::int64_t>(static_cast<double>(pause.count()) * factor));
}

} // namespace acaciasill::support

#endif

#ifndef ACACIASILL_SUPPORT_RANDOM_H
#define ACACIASILL_SUPPORT_RANDOM_H

#include <cstdint>
#include <random>

#include "acaciasill/support/time.h"

namespace acaciasill::support {

// The source of randomness that decisions receive as an argument; the same seed gives the same
// decisions.
using random_source = std::mt19937_64;

// A number in [0, 1).
inline double uniform_unit(random_source& random) {
  constexpr double scale = 1.0 / 9007199254740992.0; // 2 to the power of -53
  return static_cast<double>(random() >> 11U) * scale;
}

// A number in [0, bound); bound is at least one.
inline std::uint64_t uniform_below(random_source& random, std::uint64_t bound) {
  return static_cast<std::uint64_t>(uniform_unit(random) * static_cast<double>(bound));
}

// Between half of a pause and the whole of it, so that those who wait for the same do not all come
// at once.
inline duration jittered(duration pause, random_source& random) {
  const double part = 0.5 + uniform_unit(random) / 2;
  return duration(static_cast<std::int64_t>(static_cast<double>(pause.count()) * part));
}

} // namespace acaciasill::support

#endif

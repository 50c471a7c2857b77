#ifndef ACACIASILL_SUPPORT_RANDOM_H
#define ACACIASILL_SUPPORT_RANDOM_H

#include <cstdint>
#include <random>

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

} // namespace acaciasill::support

#endif

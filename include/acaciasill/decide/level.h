#ifndef ACACIASILL_DECIDE_LEVEL_H
#define ACACIASILL_DECIDE_LEVEL_H

#include <cstdint>

// Level of a request: one number by which every hop sheds the same requests. A smaller level is
// more important. From the highest bit down it consists of the rank of the priority class, a bit
// that is set if the request is fresh (holds no finished work), and a hash of the request id.
namespace acaciasill::decide {

using level = std::uint32_t;

inline constexpr unsigned rank_bits = 3;
inline constexpr unsigned hash_bits = 28;
inline constexpr level hash_mask = (level{1} << hash_bits) - 1;
inline constexpr level fresh_bit = level{1} << hash_bits;

// Threshold that admits every level.
inline constexpr level accept_all = ~level{0};

// 128-bit id of a request, the same at every hop.
struct request_id {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const request_id&) const = default;
};

// Returns a well-mixed 64-bit hash of a request id, the same on every instance.
constexpr std::uint64_t hash_request(const request_id& id) {
  std::uint64_t mixed = id.high * 0x9e3779b97f4a7c15ULL + id.low;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

// Returns the level of a request. A rank above the largest is treated as the largest.
constexpr level make_level(std::uint8_t rank, bool holds_finished_work, const request_id& id) {
  constexpr std::uint8_t largest = (1U << rank_bits) - 1;
  const level class_part = level{rank > largest ? largest : rank} << (hash_bits + 1);
  const level fresh_part = holds_finished_work ? 0 : fresh_bit;
  return class_part | fresh_part | static_cast<level>(hash_request(id) & hash_mask);
}

// Returns true if the threshold admits the level.
constexpr bool admits(level threshold, level request) {
  return request <= threshold;
}

// Returns the rank contained in a level.
constexpr std::uint8_t rank_of(level request) {
  return static_cast<std::uint8_t>(request >> (hash_bits + 1));
}

// Returns the level that the request had while it was fresh. Thresholds on replies are compared
// with this level, so that the entry, where every request is fresh, sheds exactly what a deeper hop
// would shed.
constexpr level path_level(level request) {
  return request | fresh_bit;
}

// Converts an upstream's threshold to terms of path_level, for a reply to a call whose request did
// or did not hold finished work: path_level(l) passes the result if and only if l passes the
// threshold.
constexpr level path_threshold(level threshold, bool holds_finished_work) {
  if (!holds_finished_work) {
    return threshold;
  }
  return (threshold & fresh_bit) != 0 ? threshold | hash_mask : threshold | fresh_bit;
}

// Returns the half class (a priority class, with or without finished work) of a level. Levels are
// distributed evenly within a half class.
constexpr unsigned half_class_of(level request) {
  return request >> hash_bits;
}

// Histograms of levels use buckets of equal width, four for each half class.
inline constexpr unsigned bucket_shift = hash_bits - 2;
inline constexpr unsigned bucket_count = 1U << (32 - bucket_shift);

inline constexpr unsigned buckets_in_half_class = 1U << (hash_bits - bucket_shift);

// Returns the histogram bucket of a level.
constexpr unsigned bucket_of(level request) {
  return request >> bucket_shift;
}

} // namespace acaciasill::decide

#endif

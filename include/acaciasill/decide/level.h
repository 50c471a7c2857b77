#ifndef ACACIASILL_DECIDE_LEVEL_H
#define ACACIASILL_DECIDE_LEVEL_H

#include <cstdint>

// The level of a request: one number by which every hop sheds the same requests. A smaller level is
// more important. From the highest bit down it holds the rank of the priority class, whether the
// request is still fresh (holds no finished work), and a hash of the request's id.
namespace acaciasill::decide {

using level = std::uint32_t;

inline constexpr unsigned rank_bits = 3;
inline constexpr unsigned hash_bits = 28;
inline constexpr level hash_mask = (level{1} << hash_bits) - 1;
inline constexpr level fresh_bit = level{1} << hash_bits;

// The threshold that admits every level.
inline constexpr level accept_all = ~level{0};

// The 128-bit id of a whole request; the same at every hop.
struct request_id {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const request_id&) const = default;
};

// A well-mixed 64-bit hash of a request id, the same on every instance.
constexpr std::uint64_t hash_request(const request_id& id) {
  std::uint64_t mixed = id.high * 0x9e3779b97f4a7c15ULL + id.low;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

// The level of a request; a rank above the largest counts as the largest.
constexpr level make_level(std::uint8_t rank, bool holds_finished_work, const request_id& id) {
  constexpr std::uint8_t largest = (1U << rank_bits) - 1;
  const level class_part = level{rank > largest ? largest : rank} << (hash_bits + 1);
  const level fresh_part = holds_finished_work ? 0 : fresh_bit;
  return class_part | fresh_part | static_cast<level>(hash_request(id) & hash_mask);
}

// Whether a threshold admits a level.
constexpr bool admits(level threshold, level request) {
  return request <= threshold;
}

// The rank that a level holds.
constexpr std::uint8_t rank_of(level request) {
  return static_cast<std::uint8_t>(request >> (hash_bits + 1));
}

// The level that the request had while it was fresh. Thresholds on replies are compared with it,
// so that the entry, where every request is fresh, sheds just what a deeper hop would shed.
constexpr level path_level(level request) {
  return request | fresh_bit;
}

// An upstream's threshold in terms of path_level, for a reply to a call whose request did or did
// not hold finished work: path_level(l) passes the result where l passes the threshold.
constexpr level path_threshold(level threshold, bool holds_finished_work) {
  if (!holds_finished_work) {
    return threshold;
  }
  return (threshold & fresh_bit) != 0 ? threshold | hash_mask : threshold | fresh_bit;
}

// The half of a class, held or fresh, that a level belongs to; within it levels are spread evenly.
constexpr unsigned half_class_of(level request) {
  return request >> hash_bits;
}

// Histograms of levels use equal buckets: a class's held and fresh halves have four each.
inline constexpr unsigned bucket_shift = hash_bits - 2;
inline constexpr unsigned bucket_count = 1U << (32 - bucket_shift);

inline constexpr unsigned buckets_in_half_class = 1U << (hash_bits - bucket_shift);

// The histogram's bucket of a level.
constexpr unsigned bucket_of(level request) {
  return request >> bucket_shift;
}

} // namespace acaciasill::decide

#endif

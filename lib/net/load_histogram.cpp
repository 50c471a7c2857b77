#include "acaciasill/net/load_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace acaciasill::net {
namespace {

// Linear buckets per power of two.
constexpr std::uint64_t sub_buckets = 64;
constexpr unsigned sub_bucket_bits = 6;

// Values below 2 * sub_buckets have a bucket each; every power of two above is divided into
// sub_buckets buckets.
std::size_t bucket_index(std::uint64_t span) {
  if (span < 2 * sub_buckets) {
    return span;
  }
  const auto shift = static_cast<unsigned>(std::bit_width(span)) - sub_bucket_bits - 1;
  return shift * sub_buckets + (span >> shift);
}

std::uint64_t bucket_upper_bound(std::size_t bucket) {
  if (bucket < 2 * sub_buckets) {
    return bucket;
  }
  const auto shift = bucket / sub_buckets - 1;
  const auto leading = bucket - shift * sub_buckets;
  return ((leading + 1) << shift) - 1;
}

} // namespace

void load_histogram::add(support::duration span) {
  const auto microseconds = std::chrono::duration_cast<support::microseconds>(span).count();
  const auto value = static_cast<std::uint64_t>(std::max<std::int64_t>(0, microseconds));
  const auto bucket = bucket_index(value);
  if (bucket >= buckets_.size()) {
    buckets_.resize(bucket + 1);
  }
  ++buckets_[bucket];
  ++count_;
  max_us_ = std::max(max_us_, value);
}

void load_histogram::merge(const load_histogram& other) {
  if (other.buckets_.size() > buckets_.size()) {
    buckets_.resize(other.buckets_.size());
  }
  for (std::size_t index = 0; index < other.buckets_.size(); ++index) {
    buckets_[index] += other.buckets_[index];
  }
  count_ += other.count_;
  max_us_ = std::max(max_us_, other.max_us_);
}

support::microseconds load_histogram::quantile(double fraction) const {
  const auto target_count =
      static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(count_)));
  std::uint64_t cumulative_count = 0;
  for (std::size_t index = 0; index < buckets_.size(); ++index) {
    cumulative_count += buckets_[index];
    if (cumulative_count >= target_count && cumulative_count > 0) {
      return support::microseconds(std::min(bucket_upper_bound(index), max_us_));
    }
  }
  return support::microseconds(0);
}

} // namespace acaciasill::net

#include "acaciasill/net/load_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace acaciasill::net {
namespace {

// Buckets per power of two.
constexpr std::uint64_t sub_buckets = 64;
constexpr unsigned sub_bucket_bits = 6;

// The first 2 * sub_buckets spans have a bucket each; from there on every power of two has
// sub_buckets of them.
std::size_t bucket_of(std::uint64_t span) {
  if (span < 2 * sub_buckets) {
    return span;
  }
  const auto shift = static_cast<unsigned>(std::bit_width(span)) - sub_bucket_bits - 1;
  return shift * sub_buckets + (span >> shift);
}

std::uint64_t upper_end(std::size_t bucket) {
  if (bucket < 2 * sub_buckets) {
    return bucket;
  }
  const auto shift = bucket / sub_buckets - 1;
  const auto leading = bucket - shift * sub_buckets;
  return ((leading + 1) << shift) - 1;
}

} // namespace

void load_histogram::add(support::duration span) {
  const auto whole = std::chrono::duration_cast<support::microseconds>(span).count();
  const auto value = static_cast<std::uint64_t>(std::max<std::int64_t>(0, whole));
  const auto bucket = bucket_of(value);
  if (bucket >= buckets_.size()) {
    buckets_.resize(bucket + 1);
  }
  ++buckets_[bucket];
  ++count_;
  largest_ = std::max(largest_, value);
}

void load_histogram::merge(const load_histogram& other) {
  if (other.buckets_.size() > buckets_.size()) {
    buckets_.resize(other.buckets_.size());
  }
  for (std::size_t index = 0; index < other.buckets_.size(); ++index) {
    buckets_[index] += other.buckets_[index];
  }
  count_ += other.count_;
  largest_ = std::max(largest_, other.largest_);
}

support::microseconds load_histogram::quantile(double part) const {
  const auto wanted = static_cast<std::uint64_t>(std::ceil(part * static_cast<double>(count_)));
  std::uint64_t seen = 0;
  for (std::size_t index = 0; index < buckets_.size(); ++index) {
    seen += buckets_[index];
    if (seen >= wanted && seen > 0) {
      return support::microseconds(std::min(upper_end(index), largest_));
    }
  }
  return support::microseconds(0);
}

} // namespace acaciasill::net

#ifndef ACACIASILL_NET_LOAD_HISTOGRAM_H
#define ACACIASILL_NET_LOAD_HISTOGRAM_H

#include <cstdint>
#include <vector>

#include "acaciasill/support/time.h"

namespace acaciasill::net {

// Histogram of durations with log-linear buckets. The relative error of a quantile is at most 1/64.
// Not thread-safe: each thread fills its own histogram, and they are merged after the run.
class load_histogram {
public:
  // Records one duration, truncated to whole microseconds. Negative durations are recorded as 0.
  void add(support::duration span);

  void merge(const load_histogram& other);

  std::uint64_t count() const { return count_; }

  // Upper bound of the bucket that contains the given quantile, in [0, 1]; 0 if nothing was
  // recorded.
  support::microseconds quantile(double fraction) const;

  support::microseconds max() const { return support::microseconds(max_us_); }

  bool operator==(const load_histogram&) const = default;

private:
  std::vector<std::uint64_t> buckets_;
  std::uint64_t count_ = 0;
  std::uint64_t max_us_ = 0;
};

} // namespace acaciasill::net

#endif

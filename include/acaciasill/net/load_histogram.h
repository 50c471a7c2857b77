#ifndef ACACIASILL_NET_LOAD_HISTOGRAM_H
#define ACACIASILL_NET_LOAD_HISTOGRAM_H

#include <cstdint>
#include <vector>

#include "acaciasill/support/time.h"

namespace acaciasill::net {

// Counts time spans in buckets whose width grows with the span, so that a quantile is off by at
// most one part in 64. Not thread-safe; each thread fills its own, and they are merged at the end.
class load_histogram {
public:
  // Counts one span; spans are kept in whole microseconds, and negative ones count as 0.
  void add(support::duration span);

  void merge(const load_histogram& other);

  std::uint64_t count() const { return count_; }

  // The upper end of the bucket that holds this part, from 0 to 1, of all spans; 0 where nothing
  // was counted.
  support::microseconds quantile(double part) const;

  support::microseconds largest() const { return support::microseconds(largest_); }

  bool operator==(const load_histogram&) const = default;

private:
  std::vector<std::uint64_t> buckets_;
  std::uint64_t count_ = 0;
  std::uint64_t largest_ = 0;
};

} // namespace acaciasill::net

#endif

#ifndef ACACIASILL_LIB_DECIDE_TOURNAMENT_TREE_H
#define ACACIASILL_LIB_DECIDE_TOURNAMENT_TREE_H

#include <bit>
#include <cstdint>
#include <vector>

namespace acaciasill::decide {

// Tournament tree that keeps the smallest of a fixed number of keys; an update takes logarithmic
// time.
class tournament_tree {
public:
  static constexpr std::uint64_t absent = ~std::uint64_t{0};

  explicit tournament_tree(std::uint32_t count)
      : leaves_(std::bit_ceil(count == 0 ? 1U : count)), keys_(leaves_, absent),
        winners_(2 * static_cast<std::size_t>(leaves_)) {
    for (std::uint32_t leaf = 0; leaf < leaves_; ++leaf) {
      winners_[leaves_ + leaf] = leaf;
    }
    for (std::uint32_t node = leaves_ - 1; node > 0; --node) {
      winners_[node] = winners_[2 * node];
    }
  }

  // Changes one key and updates its ancestors.
  void set(std::uint32_t leaf, std::uint64_t key) {
    if (keys_[leaf] == key) {
      return;
    }
    keys_[leaf] = key;
    for (std::uint32_t node = (leaves_ + leaf) / 2; node > 0; node /= 2) {
      const auto left = winners_[2 * node];
      const auto right = winners_[2 * node + 1];
      winners_[node] = keys_[right] < keys_[left] ? right : left;
    }
  }

  std::uint32_t winner() const { return winners_[1]; }
  std::uint64_t best_key() const { return keys_[winner()]; }

private:
  std::uint32_t leaves_;
  std::vector<std::uint64_t> keys_;
  std::vector<std::uint32_t> winners_;
};

} // namespace acaciasill::decide

#endif

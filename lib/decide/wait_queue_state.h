#ifndef ACACIASILL_LIB_DECIDE_WAIT_QUEUE_STATE_H
#define ACACIASILL_LIB_DECIDE_WAIT_QUEUE_STATE_H

#include <boost/intrusive/set.hpp>

#include "acaciasill/decide/wait_queue.h"
#include "tournament_tree.h"

namespace acaciasill::decide {

using order_hook = boost::intrusive::set_base_hook<boost::intrusive::tag<struct by_order>>;
using expiry_hook = boost::intrusive::set_base_hook<boost::intrusive::tag<struct by_expiry>>;

// Entry for one waiting call.
struct queue_entry : order_hook, expiry_hook {
  request_facts request;
  std::uint64_t handle = 0;
  support::time_point enqueued;
  support::time_point drop_at;
  std::uint64_t sequence = 0;
  // Incremented with each use of the entry, so that tickets are never reused.
  std::uint32_t generation = 0;
  bool used = false;
};

// Levels within one step are considered equally important; each half class has 16 steps.
inline constexpr unsigned step_shift = hash_bits - 4;

// Orders an organisation's calls by step of level, then by arrival.
struct less_by_order {
  bool operator()(const queue_entry& left, const queue_entry& right) const {
    const auto left_step = left.request.level >> step_shift;
    const auto right_step = right.request.level >> step_shift;
    return left_step != right_step ? left_step < right_step : left.sequence < right.sequence;
  }
};

// Orders all calls by the time at which they are dropped.
struct less_by_expiry {
  bool operator()(const queue_entry& left, const queue_entry& right) const {
    return left.drop_at != right.drop_at ? left.drop_at < right.drop_at
                                         : left.sequence < right.sequence;
  }
};

using order_set = boost::intrusive::set<queue_entry, boost::intrusive::base_hook<order_hook>,
                                        boost::intrusive::compare<less_by_order>>;
using expiry_set = boost::intrusive::set<queue_entry, boost::intrusive::base_hook<expiry_hook>,
                                         boost::intrusive::compare<less_by_expiry>>;

// Waiting calls of one organisation.
struct organisation_queue {
  order_set calls;
  // Time at which the next slot is due, for a guarantee of less than one slot.
  support::time_point next_guaranteed{};
};

struct wait_queue_state {
  wait_queue_state(std::uint32_t organisation_count, std::uint32_t capacity)
      : entries(capacity), organisations(organisation_count), guaranteed(organisation_count),
        lent(organisation_count), eviction_order(organisation_count) {
    free_entries.reserve(capacity);
    for (std::uint32_t entry = capacity; entry > 0; --entry) {
      free_entries.push_back(entry - 1);
    }
  }

  std::vector<queue_entry> entries;
  std::vector<std::uint32_t> free_entries;
  std::vector<organisation_queue> organisations;
  expiry_set expiry;
  // Organisations by their claim on guaranteed slots, by their claim on lent slots, and by eviction
  // order.
  tournament_tree guaranteed;
  tournament_tree lent;
  tournament_tree eviction_order;
  std::uint64_t last_sequence = 0;
  // Limit for which the keys were computed.
  std::uint32_t keyed_limit = 0;
};

} // namespace acaciasill::decide

#endif

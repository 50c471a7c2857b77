#ifndef ACACIASILL_LIB_NET_PEER_CALLS_H
#define ACACIASILL_LIB_NET_PEER_CALLS_H

#include <memory>
#include <queue>
#include <unordered_map>
#include <vector>

#include "acaciasill/net/peer_link.h"

// The calls of one link that wait for their replies, and when their time ends.
namespace acaciasill::net {

// A call that waits for its reply.
struct pending_call {
  wire::request_id id;
  support::time_point deadline;
  reply_callback callback;
  // Held until the connection is open.
  std::unique_ptr<wire::call_request> unsent;
  // The place of its first byte in the outgoing stream, once it was sent.
  std::uint64_t place = 0;
  bool idempotent = true;
};

// How much of the backlog a call that waits for the connection takes, in bytes.
std::size_t size_of(const wire::call_request& request);

// The calls by their correlation.
using pending_calls = std::unordered_map<std::uint64_t, pending_call>;

// When a call's time ends; the earliest comes first in a heap.
struct call_deadline {
  support::time_point when;
  std::uint64_t correlation = 0;

  auto operator<=>(const call_deadline&) const = default;
};

using deadline_heap =
    std::priority_queue<call_deadline, std::vector<call_deadline>, std::greater<>>;

// Drops the deadlines of ended calls once they are the larger part. Calls mostly end before their
// deadlines, so that this costs less than to drop them one by one.
void sweep_deadlines(deadline_heap& deadlines, const pending_calls& calls);

// A reply that a daemon makes itself, with the HTTP status of its code.
wire::call_reply made_reply(wire::outcome end, support::result_code code);

} // namespace acaciasill::net

#endif

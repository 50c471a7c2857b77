#ifndef ACACIASILL_LIB_NET_PEER_CALLS_H
#define ACACIASILL_LIB_NET_PEER_CALLS_H

#include <memory>
#include <queue>
#include <unordered_map>
#include <vector>

#include "acaciasill/net/peer_link.h"

// Pending calls of one link and their deadlines.
namespace acaciasill::net {

// Call that has no reply yet.
struct pending_call {
  wire::request_id id;
  support::time_point deadline;
  reply_callback callback;
  // Request that waits for the connection to open; null once sent.
  std::unique_ptr<wire::call_request> unsent;
  // Offset of the call's first byte in the outgoing stream; valid once sent.
  std::uint64_t stream_offset = 0;
  bool idempotent = true;
};

// Bytes that an unsent call counts towards the backlog limit.
std::size_t backlog_bytes(const wire::call_request& request);

// Pending calls by correlation id.
using pending_calls = std::unordered_map<std::uint64_t, pending_call>;

// Deadline of a call; ordered by time.
struct call_deadline {
  support::time_point when;
  std::uint64_t correlation = 0;

  auto operator<=>(const call_deadline&) const = default;
};

using deadline_heap =
    std::priority_queue<call_deadline, std::vector<call_deadline>, std::greater<>>;

// Removes the deadlines of ended calls once they outnumber those of pending calls. Most calls end
// before their deadlines, so this costs less than removing each deadline as its call ends.
void compact_deadlines(deadline_heap& deadlines, const pending_calls& calls);

// Builds a reply that the daemon itself generates, with the HTTP status of the code.
wire::call_reply make_local_reply(wire::outcome end, support::result_code code);

} // namespace acaciasill::net

#endif

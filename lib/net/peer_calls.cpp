#include "peer_calls.h"

#include <utility>

namespace acaciasill::net {
namespace {

// Number of deadlines of ended calls that the heap keeps before it is compacted.
constexpr std::size_t compaction_slack = 1024;

} // namespace

void compact_deadlines(deadline_heap& deadlines, const pending_calls& calls) {
  if (deadlines.size() < 2 * calls.size() + compaction_slack) {
    return;
  }
  std::vector<call_deadline> live_deadlines;
  live_deadlines.reserve(calls.size());
  for (const auto& [correlation, call] : calls) {
    live_deadlines.push_back({call.deadline, correlation});
  }
  deadlines = deadline_heap(std::greater<>(), std::move(live_deadlines));
}

std::size_t backlog_bytes(const wire::call_request& request) {
  return sizeof(request) + request.body.size();
}

wire::call_reply make_local_reply(wire::outcome end, support::result_code code) {
  wire::call_reply reply;
  reply.outcome = end;
  reply.code = code;
  reply.http_status = support::describe(code).http_status;
  return reply;
}

} // namespace acaciasill::net

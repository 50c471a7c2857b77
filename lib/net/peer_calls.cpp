#include "peer_calls.h"

#include <utility>

namespace acaciasill::net {
namespace {

// Ended calls whose deadlines may linger before they are swept out.
constexpr std::size_t sweep_slack = 1024;

} // namespace

void sweep_deadlines(deadline_heap& deadlines, const pending_calls& calls) {
  if (deadlines.size() < 2 * calls.size() + sweep_slack) {
    return;
  }
  std::vector<call_deadline> alive;
  alive.reserve(calls.size());
  for (const auto& [correlation, call] : calls) {
    alive.push_back({call.deadline, correlation});
  }
  deadlines = deadline_heap(std::greater<>(), std::move(alive));
}

std::size_t size_of(const wire::call_request& request) {
  return sizeof(request) + request.body.size();
}

wire::call_reply made_reply(wire::outcome end, support::result_code code) {
  wire::call_reply reply;
  reply.outcome = end;
  reply.code = code;
  reply.http_status = support::describe(code).http_status;
  return reply;
}

} // namespace acaciasill::net

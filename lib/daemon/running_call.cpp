#include "running_call.h"

#include "absl/strings/str_cat.h"

#include "acaciasill/daemon/trace.h"
#include "acaciasill/net/call_headers.h"
#include "acaciasill/support/log.h"

namespace acaciasill::daemon {

decide::content_hash hash_content(const wire::call_request& request) {
  return decide::hash_content(request.service, request.method, request.target, request.body);
}

std::uint64_t microseconds_between(support::time_point from, support::time_point to) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<support::microseconds>(to - from).count());
}

void log_call_end(const running_call& call, const wire::call_reply& reply, const decide::gate& gate,
                  support::time_point now, std::uint32_t dropped) {
  const bool started = call.started != support::time_point{};
  const auto queued = microseconds_between(call.arrived, started ? call.started : now);
  support::write_event(
      support::log_level::info, "upstream", "ended",
      {{"call", net::format_request_id(call.request.id)},
       {"content", absl::StrCat(absl::Hex(hash_content(call.request), absl::kZeroPad16))},
       {"rank", std::to_string(call.request.rank)},
       {"held", call.request.holds_finished_work ? "true" : "false"},
       {"started", started ? "true" : "false"},
       {"queued_us", std::to_string(queued)},
       {"total_us", std::to_string(microseconds_between(call.arrived, now))},
       {"in_flight", std::to_string(gate.in_flight.load(std::memory_order_relaxed))},
       {"waiting", std::to_string(gate.waiting.load(std::memory_order_relaxed))},
       {"limit", std::to_string(gate.limit.load(std::memory_order_relaxed))},
       {"threshold", std::to_string(reply.threshold)},
       {"outcome", std::string(outcome_name(reply.outcome))},
       {"code", support::format_code(reply.code)},
       {"lines_dropped_before", std::to_string(dropped)}});
}

} // namespace acaciasill::daemon

#ifndef ACACIASILL_LIB_DAEMON_RUNNING_CALL_H
#define ACACIASILL_LIB_DAEMON_RUNNING_CALL_H

#include <cstdint>
#include <optional>
#include <string>

#include "acaciasill/daemon/upstream_calls.h"
#include "acaciasill/decide/request_path.h"
#include "acaciasill/wire/call.h"

// State of a call at the upstream's daemon.
namespace acaciasill::daemon {

// Stage of a call at the upstream's daemon.
enum class call_stage : std::uint8_t { waiting, claiming, running, ended };

// State of one call, accessed only on its home thread.
struct running_call {
  std::uint64_t id = 0;
  wire::call_request request;
  upstream_reply reply;
  decide::request_facts facts;
  support::time_point arrived;
  support::time_point started;
  call_stage stage = call_stage::waiting;
  // Claim under which the call runs.
  std::optional<std::uint64_t> claim;
  std::uint64_t exchange = 0;
  // Instance of the backend server that the call was sent to.
  std::string instance;
  std::uint64_t instance_start_ms = 0;
  std::optional<decide::parent_ref> parent;
};

// Returns the identity of the request's content.
decide::content_hash hash_content(const wire::call_request& request);

// Returns the microseconds from one time to another, which is not earlier.
std::uint64_t microseconds_between(support::time_point from, support::time_point to);

// Logs the end of a call; dropped is the number of lines suppressed before this one.
void log_call_end(const running_call& call, const wire::call_reply& reply, const decide::gate& gate,
                  support::time_point now, std::uint32_t dropped);

} // namespace acaciasill::daemon

#endif

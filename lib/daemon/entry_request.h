#ifndef ACACIASILL_LIB_DAEMON_ENTRY_REQUEST_H
#define ACACIASILL_LIB_DAEMON_ENTRY_REQUEST_H

#include <cstdint>
#include <optional>
#include <string_view>

#include "absl/status/statusor.h"

#include "acaciasill/board/views.h"
#include "acaciasill/net/call_headers.h"
#include "acaciasill/net/http_server.h"
#include "acaciasill/support/random.h"
#include "acaciasill/support/time.h"
#include "acaciasill/wire/call.h"

namespace acaciasill::support {
class hmac_signer;
}

// What an HTTP request means as a call: the rules on who may set what.
namespace acaciasill::daemon {

// A call as it was understood, before any decision.
struct entry_request {
  wire::call_request call;
  support::time_point deadline;
  // Attempts beyond the first that an outside caller's request is given.
  std::uint32_t minted_attempts = 0;
  // Whether the local backend server makes the call for a request that this daemon is serving.
  bool from_backend = false;
  // Whether the destination calls other services, so that its failure may be a deeper one's.
  bool destination_calls_others = false;
  std::uint32_t organisation_slot = 0;
  std::uint32_t service_slot = 0;
  // The subject of learned thresholds: the route, or the service where no route fits.
  std::uint32_t threshold_subject = 0;
  double retry_ratio = 0.0;
};

// Reads the request by the configuration in force. Errors: bad_request, no_route, unknown_service,
// unknown_organisation, not_ready, deadline_exceeded.
absl::StatusOr<entry_request>
read_entry_request(const board::configuration_view& view, net::http_request request,
                   const net::call_headers& headers, support::hmac_signer& signer,
                   support::time_point now, support::random_source& random);

} // namespace acaciasill::daemon

#endif

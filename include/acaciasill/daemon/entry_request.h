#ifndef ACACIASILL_DAEMON_ENTRY_REQUEST_H
#define ACACIASILL_DAEMON_ENTRY_REQUEST_H

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
  // The request's id as its caller wrote it; empty where it is the call's own.
  std::string caller_id;
  // The route's name, where the request came by a host.
  std::string route;
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
  // The rank that the call has where its caller was refused before and comes back.
  std::uint8_t returning_rank = 0;
  // The time that an outside caller says it still waits.
  std::optional<support::milliseconds> time_brought;
  // Whether a call for a running request takes over that request's rank.
  bool inherits_rank = false;
  // Whether an attempt of an idempotent call is given up after some expected service times. Calls
  // of very different lengths to one service have no common one.
  bool bounds_attempt_time = true;
  // Upstreams that may come to run the call; 0 for no bound beside the attempts.
  std::uint32_t max_runs = 0;
  // Whether the same request may come again with the same id and is then answered as a duplicate.
  bool collapses_duplicates = true;
};

// What a protocol knows of a request for a host, beside its text.
struct host_request_facts {
  wire::request_id id;
  // The time that the caller gives; nothing where it says none.
  std::optional<support::milliseconds> deadline;
  // Whether the local backend server makes the request while it runs another one.
  bool from_backend = false;
};

// Reads a request that names a host and a path, by the host routes of the configuration in force.
// The target is passed on unchanged. Its deadline is the caller's or the route's timeout, whichever
// is earlier. The request is left whole where an error is returned. Errors: no_route, not_ready,
// unknown_organisation, deadline_exceeded.
absl::StatusOr<entry_request> read_host_request(const board::configuration_view& view,
                                                net::http_request& request,
                                                const host_request_facts& facts,
                                                support::time_point now,
                                                support::random_source& random);

// Reads the request by the configuration in force. Errors: bad_request, no_route, unknown_service,
// unknown_organisation, not_ready, deadline_exceeded.
absl::StatusOr<entry_request>
read_entry_request(const board::configuration_view& view, net::http_request request,
                   const net::call_headers& headers, support::hmac_signer& signer,
                   support::time_point now, support::random_source& random);

} // namespace acaciasill::daemon

#endif

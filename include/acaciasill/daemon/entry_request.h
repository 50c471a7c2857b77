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

// Translation of HTTP requests into calls, including the policy on which caller may set which
// property.
namespace acaciasill::daemon {

// A parsed call, before any admission decision.
struct entry_request {
  wire::call_request call;
  // Request id as written by the caller; empty where it is identical to the call's id.
  std::string caller_id;
  // Name of the route if the request was matched by host.
  std::string route;
  support::time_point deadline;
  // Number of attempts beyond the first that the request of an outside caller is granted.
  std::uint32_t retry_budget = 0;
  // Whether the local backend server makes the call on behalf of a request that this daemon is
  // serving.
  bool from_backend = false;
  // Whether the request may be a call of the local backend server that nothing in it marks as one.
  bool may_be_backend_call = false;
  // Request that the call states to belong to; it counts only if that request is running here.
  std::optional<wire::request_id> stated_parent;
  // Whether the destination calls other services according to the configuration, so that its
  // failure may originate from one of them.
  bool destination_calls_others = false;
  // Whether part of the retry budget is lent to the destination for calls that its server makes.
  bool lends_attempts = false;
  std::uint32_t organisation_slot = 0;
  std::uint32_t service_slot = 0;
  // Subject of the learned thresholds: the route, or the service if no route matches.
  std::uint32_t threshold_subject = 0;
  double retry_ratio = 0.0;
  // Rank of the call if its caller returns after a refusal.
  std::uint8_t returning_rank = 0;
  // Time that an outside caller will still wait, as stated in its request.
  std::optional<support::milliseconds> caller_time_left;
  // Whether the request carries no key although its route requires one, so that it is served only
  // if the local backend server makes it.
  bool needs_parent = false;
  // Whether a call made on behalf of a running request belongs to that request's organisation. Not
  // on public routes, which callers without an organisation use as well.
  bool inherits_organisation = false;
  // Whether callers without a key use the route as well, so that the way in which a connection is
  // used does not show that the local backend server makes the request.
  bool is_public = false;
  // Organisation to whose rate limit the request counts; nullopt if there is none.
  std::optional<board::limited_organisation> limited;
  // Whether a call made on behalf of a running request takes that request's rank.
  bool inherits_rank = false;
  // Whether attempts of an idempotent call time out after a multiple of the expected service time.
  // Unsuitable for a service whose calls differ greatly in duration, since no single expected time
  // fits.
  bool bounds_attempt_time = true;
  // Maximum number of attempts that may have run; 0 for no limit other than the retry budget.
  std::uint32_t max_runs = 0;
  // Whether a repeated request with the same id is rejected as a duplicate while the first one is
  // running.
  bool collapses_duplicates = true;
};

// Properties of a host request that the protocol supplies in addition to the HTTP request.
struct host_request_facts {
  wire::request_id id;
  // Timeout stated by the caller; nullopt if none.
  std::optional<support::milliseconds> deadline;
  // Request that the request states to be a call of.
  std::optional<wire::request_id> stated_parent;
  // Key of the caller; nullopt if the request carries none.
  std::optional<std::string_view> key;
};

// Parses a request that is matched by host and path, using the host routes of the configuration in
// force. The target is forwarded unchanged. The deadline is that of the caller or the timeout of
// the route, whichever is earlier. The request is not modified if an error is returned. Errors:
// no_route, not_ready, no_upstream, unauthenticated, unknown_organisation, deadline_exceeded.
absl::StatusOr<entry_request> read_host_request(const board::configuration_view& view,
                                                net::http_request& request,
                                                const host_request_facts& facts,
                                                support::time_point now,
                                                support::random_source& random);

// Assigns the request to the organisation.
void set_organisation(const board::configuration_view& view, model::organisation_index organisation,
                      entry_request& request);

// Turns a parsed host request into a call of the local backend server for a running request.
void mark_as_backend_call(entry_request& request, const wire::request_id& running);

// Parses a request using the configuration in force. Errors: bad_request, no_route,
// unknown_service, unknown_organisation, not_ready, deadline_exceeded.
absl::StatusOr<entry_request>
read_entry_request(const board::configuration_view& view, net::http_request request,
                   const net::call_headers& headers, support::hmac_signer& signer,
                   support::time_point now, support::random_source& random);

} // namespace acaciasill::daemon

#endif

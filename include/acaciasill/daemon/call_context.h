#ifndef ACACIASILL_DAEMON_CALL_CONTEXT_H
#define ACACIASILL_DAEMON_CALL_CONTEXT_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "acaciasill/support/time.h"
#include "acaciasill/wire/call.h"

namespace acaciasill::support {
class hmac_signer;
}

// The opaque x-acaciasill-context header that a daemon sends to its backend server and that the
// server returns with the calls it makes. It proves that such a call belongs to a request that this
// daemon is serving, so that an outside caller cannot raise its own rank, organisation or budget.
namespace acaciasill::daemon {

// Properties that a call made by the local backend server inherits from the call it serves.
struct call_context {
  wire::request_id id;
  std::string organisation;
  std::uint8_t rank = 0;
  std::uint8_t depth = 0;
  support::time_point deadline;

  bool operator==(const call_context&) const = default;
};

// Formats the header value, signed with the daemon's secret.
std::string format_context(const call_context& context, support::hmac_signer& signer);

// Parses and verifies a header value. Returns nullopt if the format or the signature is invalid, or
// if the value was signed for another request id.
std::optional<call_context> parse_context(std::string_view text, const wire::request_id& id,
                                          support::hmac_signer& signer);

} // namespace acaciasill::daemon

#endif

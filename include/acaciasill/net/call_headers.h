#ifndef ACACIASILL_NET_CALL_HEADERS_H
#define ACACIASILL_NET_CALL_HEADERS_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

#include "acaciasill/support/time.h"
#include "acaciasill/wire/call.h"

// Header fields that carry per-call metadata from a caller to a daemon.
namespace acaciasill::net {

// Largest accepted value of x-deadline-ms.
inline constexpr support::milliseconds max_deadline{10 * 60 * 1000};

// Largest accepted value of x-retry-budget.
inline constexpr std::uint32_t max_retry_budget = 1000;

// Maximum length of x-acaciasill-context in bytes.
inline constexpr std::size_t max_context_bytes = 4096;

// Parsed call header fields of one request. An absent field leaves its member empty.
struct call_headers {
  std::optional<wire::request_id> id;
  std::string organisation;
  // Name of a priority class.
  std::string priority;
  // Time remaining until the deadline.
  std::optional<support::milliseconds> deadline;
  // Number of attempts beyond the first that the caller allows.
  std::optional<std::uint32_t> retry_budget;
  std::string idempotency_key;
  // Opaque context, forwarded unchanged.
  std::string context;

  bool operator==(const call_headers&) const = default;
};

// Parses the call header fields; names are case-insensitive. Errors: bad_request if a field is
// malformed, exceeds its limit or occurs twice, or if there are more fields than a frame can carry.
absl::StatusOr<call_headers> parse_call_headers(const std::vector<wire::header_field>& fields);

// Formats the headers so that parse_call_headers returns an equal value.
std::vector<wire::header_field> format_call_headers(const call_headers& headers);

// Whether parse_call_headers recognises the field name, ignoring case.
bool is_call_header(std::string_view name);

// Whether the field is hop-by-hop: it applies to a single HTTP connection and is not forwarded.
bool is_connection_header(std::string_view name);

// Whether two field names are equal, ignoring case.
bool same_field_name(std::string_view left, std::string_view right);

// Formats an id as 32 lower-case hexadecimal digits.
std::string format_request_id(const wire::request_id& id);

// Parses 32 hexadecimal digits, with or without the dashes of a UUID. Returns nullopt for any other
// text and for the all-zero id.
std::optional<wire::request_id> parse_request_id(std::string_view text);

} // namespace acaciasill::net

#endif

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

// The header fields by which a caller tells a daemon about its request.
namespace acaciasill::net {

// The largest x-deadline-ms that is accepted.
inline constexpr support::milliseconds max_deadline{10 * 60 * 1000};

// The largest x-retry-budget that is accepted.
inline constexpr std::uint32_t max_retry_budget = 1000;

// Bytes of x-acaciasill-context.
inline constexpr std::size_t max_context_bytes = 4096;

// What the header fields of one request say; a field that is absent leaves its member empty.
struct call_headers {
  std::optional<wire::request_id> id;
  std::string organisation;
  // The name of a priority class.
  std::string priority;
  // Time left.
  std::optional<support::milliseconds> deadline;
  // Attempts beyond the first that the caller lends.
  std::optional<std::uint32_t> retry_budget;
  std::string idempotency_key;
  // Opaque, passed down unchanged.
  std::string context;

  bool operator==(const call_headers&) const = default;
};

// Reads the fields; names are compared without case. bad_request where one is malformed, over its
// bound, or given twice, or where there are more fields than a frame may carry.
absl::StatusOr<call_headers> parse_call_headers(const std::vector<wire::header_field>& fields);

// The fields that parse_call_headers reads back to the same value.
std::vector<wire::header_field> format_call_headers(const call_headers& headers);

// Whether parse_call_headers reads a field of this name, in any case.
bool is_call_header(std::string_view name);

// Whether a field of this name concerns one HTTP connection alone and is not passed on.
bool is_connection_header(std::string_view name);

// Whether two field names are equal, without regard to case.
bool same_field_name(std::string_view left, std::string_view right);

// An id as 32 lower-case hexadecimal digits.
std::string format_request_id(const wire::request_id& id);

// Reads 32 hexadecimal digits, with or without the dashes of a UUID; nothing for any other text and
// for the id of zeros.
std::optional<wire::request_id> parse_request_id(std::string_view text);

} // namespace acaciasill::net

#endif

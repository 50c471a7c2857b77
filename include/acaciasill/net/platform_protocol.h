#ifndef ACACIASILL_NET_PLATFORM_PROTOCOL_H
#define ACACIASILL_NET_PLATFORM_PROTOCOL_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "acaciasill/control/platform.h"
#include "acaciasill/net/http_server.h"
#include "acaciasill/wire/call.h"

// HTTP encoding of platform operations as conditional requests:
//
//   GET  /rows/KEY              200 with ETag "VERSION", or 404
//   PUT  /rows/KEY              with If-Match "VERSION" or If-None-Match *; 200 or 412
//   GET  /rows?prefix=P&limit=N 200 with rows as JSON
//   POST /transaction           rows as JSON, each with its expected version; 200 or 412
//   GET  /objects/DIGEST        200 or 404
//   PUT  /objects/DIGEST        200; 400 if the bytes do not match the digest
//
// Shared by the client and the stand-in platform.
namespace acaciasill::net {

// Maximum body size of a platform request or response, in bytes.
inline constexpr std::size_t max_platform_body_bytes = std::size_t{48} << 20U;

// Maximum length of a row key, in bytes.
inline constexpr std::size_t max_row_key_bytes = 512;

// HTTP request for one operation.
struct platform_exchange {
  std::string method;
  // Path and query relative to the platform URL.
  std::string target;
  std::vector<wire::header_field> headers;
  std::string body;

  bool operator==(const platform_exchange&) const = default;
};

// Encodes an operation. Errors: bad_request if a key or digest is invalid, or a value is not UTF-8.
absl::StatusOr<platform_exchange> encode_operation(const control::platform_operation& operation);

// Decodes a complete HTTP response to the operation. A response that violates the protocol gives an
// unknown end for a write and a failure for a read. Objects are verified against their digest.
control::platform_answer decode_answer(std::uint64_t ticket,
                                       const control::platform_operation& operation,
                                       const http_response& response);

// Whether repeating the operation has no further effect.
bool is_idempotent(const control::platform_operation& operation);

// End of an operation whose request may have reached the platform and whose response was lost.
control::platform_end end_after_lost_response(const control::platform_operation& operation);

// Encode and decode a list of rows as JSON. Errors: platform_corrupt.
std::string encode_rows(const std::vector<control::table_row>& rows);
absl::StatusOr<std::vector<control::table_row>> decode_rows(std::string_view text);

// Decode and encode a row version as a quoted entity tag such as "7". decode_entity_tag returns
// nullopt for an invalid tag.
std::optional<std::uint64_t> decode_entity_tag(std::string_view tag);
std::string encode_entity_tag(std::uint64_t version);

// Percent-encode everything except letters, digits and -._~/ of a key, and decode it.
// percent_decode returns nullopt for an incomplete or invalid escape.
std::string percent_encode(std::string_view text);
std::optional<std::string> percent_decode(std::string_view text);

// Whether the text is a valid row key: non-empty, at most max_row_key_bytes, printable ASCII
// without spaces.
bool is_row_key(std::string_view key);

// Whether the bytes are valid UTF-8.
bool is_utf8(std::string_view bytes);

} // namespace acaciasill::net

#endif

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

// The platform's operations as HTTP exchanges with conditional requests:
//
//   GET  /rows/KEY                  200 with ETag "VERSION", or 404
//   PUT  /rows/KEY                  with If-Match "VERSION" or If-None-Match *; 200 or 412
//   GET  /rows?prefix=P&limit=N     200 with rows as JSON
//   POST /transaction               rows as JSON, each with the version it must still have; 200 or
//   412 GET  /objects/DIGEST            200 or 404 PUT  /objects/DIGEST            200; 400 where
//   the bytes do not match
//
// The client and the stand-in share this code.
namespace acaciasill::net {

// The largest body of a platform request or answer, in bytes.
inline constexpr std::size_t max_platform_body_bytes = std::size_t{48} << 20U;

// The largest key of a row in bytes.
inline constexpr std::size_t max_row_key_bytes = 512;

// One HTTP request for an operation.
struct platform_exchange {
  std::string method;
  // Path and query below the platform's URL.
  std::string target;
  std::vector<wire::header_field> headers;
  std::string body;

  bool operator==(const platform_exchange&) const = default;
};

// The request for an operation. Errors: bad_request where a key or digest is not valid, or a value
// is not UTF-8.
absl::StatusOr<platform_exchange> encode_operation(const control::platform_operation& operation);

// What a whole HTTP answer to the operation means. Anything that does not follow the protocol is an
// unknown end of a write and a failure of a read; objects are checked against their digest.
control::platform_answer decode_answer(std::uint64_t ticket,
                                       const control::platform_operation& operation,
                                       const http_response& response);

// Whether an operation changes nothing, or changes nothing more when it is done twice.
bool is_repeatable(const control::platform_operation& operation);

// How an operation ended whose request may have reached the platform and whose answer is lost.
control::platform_end lost_end(const control::platform_operation& operation);

// The list of rows as JSON, and back. Errors: platform_corrupt.
std::string encode_rows(const std::vector<control::table_row>& rows);
absl::StatusOr<std::vector<control::table_row>> decode_rows(std::string_view text);

// The version inside an entity tag such as "7" with its quotes, or nothing.
std::optional<std::uint64_t> decode_entity_tag(std::string_view tag);
std::string encode_entity_tag(std::uint64_t version);

// Percent-encodes everything but letters, digits, and -._~/ of a key, and back.
std::string percent_encode(std::string_view text);
std::optional<std::string> percent_decode(std::string_view text);

// Whether the text is a key that the table takes: not empty, bounded, printable ASCII.
bool is_row_key(std::string_view key);

// Whether the bytes are valid UTF-8.
bool is_utf8(std::string_view bytes);

} // namespace acaciasill::net

#endif

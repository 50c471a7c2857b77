#ifndef ACACIASILL_WIRE_CODEC_H
#define ACACIASILL_WIRE_CODEC_H

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "absl/status/statusor.h"

#include "acaciasill/wire/call.h"
#include "acaciasill/wire/handshake.h"

// Turns the plain structs of the wire into bytes and back. A frame on the wire is a FlatBuffers
// buffer with its size prefix: four bytes of length, least significant first, then the message.
namespace acaciasill::wire {

// Bytes of the length in front of each message.
inline constexpr std::size_t length_prefix_bytes = 4;

// The largest body of a call or a reply, in bytes.
inline constexpr std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;

// The largest frame, in bytes without the length prefix.
inline constexpr std::size_t max_frame_bytes = max_body_bytes + std::size_t{1024} * 1024;

// The largest frame that is accepted from a peer before it is authenticated, in bytes.
inline constexpr std::size_t max_handshake_frame_bytes = 512;

// Header fields of one message.
inline constexpr std::size_t max_headers = 100;

// Bytes of all names and values of one message's header fields together.
inline constexpr std::size_t max_header_bytes = std::size_t{16} * 1024;

// Bytes of a service's or organisation's name and of a method.
inline constexpr std::size_t max_name_bytes = 256;

// Bytes of a target, path and query together.
inline constexpr std::size_t max_target_bytes = std::size_t{8} * 1024;

// Bytes of an idempotency key.
inline constexpr std::size_t max_idempotency_key_bytes = 256;

// Any message of a connection between daemons.
using frame = std::variant<call_request, call_reply, call_cancel, hello, challenge, proof>;

// Whether a message is within the limits above; bad_request, body_too_large or frame_too_large
// otherwise. The sender checks this, since the receiver closes the connection.
absl::Status check_limits(const call_request& request);
absl::Status check_limits(const call_reply& reply);

// Appends a whole frame with its length prefix to a buffer that the caller reuses.
void append_frame(std::string& buffer, const call_request& request);
void append_frame(std::string& buffer, const call_reply& reply);
void append_frame(std::string& buffer, const call_cancel& cancel);
void append_frame(std::string& buffer, const hello& message);
void append_frame(std::string& buffer, const challenge& message);
void append_frame(std::string& buffer, const proof& message);

// The whole frame with its length prefix.
template <typename Message>
std::string encode(const Message& message) {
  std::string buffer;
  append_frame(buffer, message);
  return buffer;
}

// Decodes one whole frame with its length prefix. frame_corrupt where the bytes are not one frame
// or a value is not known; frame_too_large where a count or size is over its limit. Limits are
// checked before anything is copied.
absl::StatusOr<frame> decode_frame(std::string_view bytes);

} // namespace acaciasill::wire

#endif

#ifndef ACACIASILL_WIRE_CODEC_H
#define ACACIASILL_WIRE_CODEC_H

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "absl/status/statusor.h"

#include "acaciasill/wire/call.h"
#include "acaciasill/wire/handshake.h"

// Encodes and decodes frames. A frame on the wire is a size-prefixed FlatBuffers buffer: a 4-byte
// little-endian length followed by the message.
namespace acaciasill::wire {

// Size of the length prefix of a frame, in bytes.
inline constexpr std::size_t length_prefix_bytes = 4;

// Limit on the body of a call or a reply, in bytes.
inline constexpr std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;

// Limit on a frame without its length prefix, in bytes.
inline constexpr std::size_t max_frame_bytes = max_body_bytes + std::size_t{1024} * 1024;

// Limit on a frame from a peer that is not yet authenticated, in bytes.
inline constexpr std::size_t max_handshake_frame_bytes = 512;

// Limit on the number of header fields of a message.
inline constexpr std::size_t max_headers = 100;

// Limit on the total size of the header fields of a message, names and values, in bytes.
inline constexpr std::size_t max_header_bytes = std::size_t{16} * 1024;

// Limit on a service name and a method, in bytes each.
inline constexpr std::size_t max_name_bytes = 256;

// Limit on an organisation name, in bytes.
inline constexpr std::size_t max_organisation_bytes = 1024;

// Limit on a target, path and query together, in bytes.
inline constexpr std::size_t max_target_bytes = std::size_t{8} * 1024;

// Limit on an idempotency key, in bytes.
inline constexpr std::size_t max_idempotency_key_bytes = 256;

// Any message on a connection between daemons.
using frame = std::variant<call_request, call_reply, call_cancel, hello, challenge, proof>;

// Checks a message against the limits above. Fails with body_too_large or frame_too_large. Senders
// check this first, because the receiver closes the connection on a violation.
absl::Status check_limits(const call_request& request);
absl::Status check_limits(const call_reply& reply);

// Appends a frame with its length prefix to the buffer.
void append_frame(std::string& buffer, const call_request& request);
void append_frame(std::string& buffer, const call_reply& reply);
void append_frame(std::string& buffer, const call_cancel& cancel);
void append_frame(std::string& buffer, const hello& message);
void append_frame(std::string& buffer, const challenge& message);
void append_frame(std::string& buffer, const proof& message);

// Encodes a message as a frame with its length prefix.
template <typename Message>
std::string encode(const Message& message) {
  std::string buffer;
  append_frame(buffer, message);
  return buffer;
}

// Decodes one frame with its length prefix. Fails with frame_corrupt if the bytes are not one valid
// frame or hold an unknown value, body_too_large if a body exceeds its limit, and frame_too_large
// if any other count or size does. Limits are checked before anything is copied.
absl::StatusOr<frame> decode_frame(std::string_view bytes);

} // namespace acaciasill::wire

#endif

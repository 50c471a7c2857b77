#ifndef ACACIASILL_WIRE_DATAGRAM_CODEC_H
#define ACACIASILL_WIRE_DATAGRAM_CODEC_H

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

#include "acaciasill/control/messages.h"

// Encodes and decodes membership and configuration datagrams. datagram_envelope.h adds the
// authentication tag.
namespace acaciasill::wire {

// Encodes a datagram; the result has at most control::encoded_bound(message) bytes.
std::string encode_datagram(const control::datagram& message);

// Decodes a datagram. Fails with frame_corrupt if the bytes are not a valid datagram or hold an
// unknown value, and with frame_too_large if a count or size exceeds its limit. Limits are checked
// before anything is copied.
absl::StatusOr<control::datagram> decode_datagram(std::string_view bytes);

} // namespace acaciasill::wire

#endif

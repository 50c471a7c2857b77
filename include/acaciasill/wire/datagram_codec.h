#ifndef ACACIASILL_WIRE_DATAGRAM_CODEC_H
#define ACACIASILL_WIRE_DATAGRAM_CODEC_H

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

#include "acaciasill/control/messages.h"

// Turns the control part's datagrams into bytes and back; datagram_envelope.h adds the tag.
namespace acaciasill::wire {

// The bytes of a datagram, no more than control::encoded_bound of it.
std::string encode_datagram(const control::datagram& message);

// Decodes a datagram. frame_corrupt where the bytes are not one or a value is not known;
// frame_too_large where a count or size is over its limit, which is checked before anything is
// copied.
absl::StatusOr<control::datagram> decode_datagram(std::string_view bytes);

} // namespace acaciasill::wire

#endif

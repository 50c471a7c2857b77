#ifndef ACACIASILL_WIRE_FRAME_READER_H
#define ACACIASILL_WIRE_FRAME_READER_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

#include "acaciasill/wire/codec.h"

namespace acaciasill::wire {

// Splits a byte stream into frames. The length of a frame is checked before memory is allocated for
// it, and the buffer grows only as bytes arrive.
class frame_reader {
public:
  explicit frame_reader(std::size_t max_frame = max_frame_bytes);

  // Returns buffer space for the next bytes of the stream; never empty.
  std::span<char> prepare();

  // Records that the first count bytes of the prepared space were filled.
  void commit(std::size_t count);

  // Returns the next complete frame with its length prefix, or nullopt if more bytes are needed.
  // The view is valid until the next call to prepare. Fails with frame_too_large if the length
  // exceeds the limit and frame_corrupt if it is too small for a message; the stream is unusable
  // afterwards.
  absl::StatusOr<std::optional<std::string_view>> next();

  // Sets the frame size limit, which is smaller before the peer is authenticated.
  void set_max_frame(std::size_t max_frame) { max_frame_ = max_frame; }

  // Whether the buffer holds an incomplete frame.
  bool has_partial_frame() const { return begin_ != end_; }

  // Size of the buffer, in bytes.
  std::size_t capacity() const { return buffer_.size() * sizeof(std::uint64_t); }

private:
  char* data() { return reinterpret_cast<char*>(buffer_.data()); }

  std::size_t max_frame_;
  // 64-bit words rather than bytes, so that the buffer's start is aligned for FlatBuffers.
  std::vector<std::uint64_t> buffer_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

} // namespace acaciasill::wire

#endif

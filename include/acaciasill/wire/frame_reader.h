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

// Cuts a stream of bytes into frames. The length of a frame is checked before any space is made
// for it, and space grows only as fast as bytes arrive.
class frame_reader {
public:
  explicit frame_reader(std::size_t max_frame = max_frame_bytes);

  // Space for the next bytes of the stream; never empty.
  std::span<char> prepare();

  // Says that the first count bytes of the prepared space were filled.
  void commit(std::size_t count);

  // The next whole frame with its length prefix, or nothing until more bytes arrive. The view holds
  // until the next call of prepare. frame_too_large where the length is over the limit,
  // frame_corrupt where it is too small to be a message; the stream is then of no use any more.
  absl::StatusOr<std::optional<std::string_view>> next();

  // Changes the largest accepted frame, which is smaller before a peer is authenticated.
  void set_max_frame(std::size_t max_frame) { max_frame_ = max_frame; }

  // Whether a part of a frame has arrived and the rest is awaited.
  bool has_partial_frame() const { return begin_ != end_; }

  // Bytes of memory that the reader holds.
  std::size_t capacity() const { return words_.size() * sizeof(std::uint64_t); }

private:
  char* data() { return reinterpret_cast<char*>(words_.data()); }

  std::size_t max_frame_;
  // Words rather than bytes, so that frames in it are aligned for FlatBuffers.
  std::vector<std::uint64_t> words_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

} // namespace acaciasill::wire

#endif

#include "acaciasill/wire/frame_reader.h"

#include <algorithm>
#include <cstring>

#include "acaciasill/support/result_code.h"

namespace acaciasill::wire {
namespace {

constexpr std::size_t word_bytes = sizeof(std::uint64_t);

// Buffer size of an idle stream, in bytes.
constexpr std::size_t initial_capacity_bytes = std::size_t{16} * 1024;

// Minimum free space offered to a read, in bytes.
constexpr std::size_t min_read_space_bytes = std::size_t{4} * 1024;

// Minimum size of a message (root offset, identifier and table), in bytes.
constexpr std::size_t min_message_bytes = 16;

// Reads byte by byte, because the prefix may be unaligned in a corrupt stream.
std::size_t read_length(const char* bytes) {
  std::size_t length = 0;
  for (std::size_t index = length_prefix_bytes; index-- > 0;) {
    length = length << 8U | static_cast<unsigned char>(bytes[index]);
  }
  return length;
}

} // namespace

frame_reader::frame_reader(std::size_t max_frame)
    : max_frame_(max_frame), buffer_(initial_capacity_bytes / word_bytes) {}

std::span<char> frame_reader::prepare() {
  if (begin_ == end_) {
    begin_ = 0;
    end_ = 0;
    if (capacity() > initial_capacity_bytes * 16) {
      buffer_ = std::vector<std::uint64_t>(initial_capacity_bytes / word_bytes);
    }
  }
  if (capacity() - end_ < min_read_space_bytes && begin_ > 0) {
    std::memmove(data(), data() + begin_, end_ - begin_);
    end_ -= begin_;
    begin_ = 0;
  }
  if (capacity() - end_ < min_read_space_bytes) {
    // Doubling bounds the buffer to twice the number of bytes that have arrived.
    buffer_.resize(buffer_.size() * 2);
  }
  return {data() + end_, capacity() - end_};
}

void frame_reader::commit(std::size_t count) {
  end_ += std::min(count, capacity() - end_);
}

absl::StatusOr<std::optional<std::string_view>> frame_reader::next() {
  const std::size_t available = end_ - begin_;
  if (available < length_prefix_bytes) {
    return std::nullopt;
  }
  const char* start = data() + begin_;
  const std::size_t length = read_length(start);
  if (length > max_frame_) {
    return support::make_error(support::result_code::frame_too_large);
  }
  if (length < min_message_bytes) {
    return support::make_error(support::result_code::frame_corrupt,
                               "frame length is below the minimum message size");
  }
  if (available - length_prefix_bytes < length) {
    return std::nullopt;
  }
  begin_ += length_prefix_bytes + length;
  return std::string_view(start, length_prefix_bytes + length);
}

} // namespace acaciasill::wire

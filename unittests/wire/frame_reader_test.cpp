#include "acaciasill/wire/frame_reader.h"

#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "acaciasill/support/result_code.h"

namespace {

using namespace acaciasill;
using support::result_code;

// Feeds the bytes to the reader in pieces of the given size and returns the frames it yields.
std::vector<std::string> read_all(wire::frame_reader& reader, std::string_view bytes,
                                  std::size_t piece) {
  std::vector<std::string> frames;
  while (!bytes.empty()) {
    const auto space = reader.prepare();
    const auto count = std::min({piece, space.size(), bytes.size()});
    std::copy_n(bytes.data(), count, space.data());
    reader.commit(count);
    bytes.remove_prefix(count);
    for (auto frame = reader.next(); frame.ok() && *frame; frame = reader.next()) {
      frames.emplace_back(**frame);
    }
  }
  return frames;
}

} // namespace

TEST_CASE("frames are complete however the stream is split", "[wire]") {
  CHECK(rc::check([] {
    std::string stream;
    std::vector<std::string> expected;
    const auto sizes = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60000));
    for (const int size : sizes) {
      wire::call_request request;
      request.body = std::string(static_cast<std::size_t>(size), 'b');
      expected.push_back(wire::encode(request));
      stream += expected.back();
    }
    wire::frame_reader reader;
    const auto piece = *rc::gen::inRange<std::size_t>(1, 70000);
    RC_ASSERT(read_all(reader, stream, piece) == expected);
    RC_ASSERT(!reader.has_partial_frame());
  }));
}

TEST_CASE("a length over the limit is rejected before memory is allocated", "[wire]") {
  wire::frame_reader reader;
  const auto capacity = reader.capacity();
  const auto space = reader.prepare();
  std::fill_n(space.data(), wire::length_prefix_bytes, '\xff');
  reader.commit(wire::length_prefix_bytes);
  CHECK(support::code_of(reader.next().status()) == result_code::frame_too_large);
  CHECK(reader.capacity() == capacity);
}

TEST_CASE("a length too small for a message is corrupt", "[wire]") {
  wire::frame_reader reader;
  const auto space = reader.prepare();
  std::fill_n(space.data(), wire::length_prefix_bytes, '\0');
  reader.commit(wire::length_prefix_bytes);
  CHECK(support::code_of(reader.next().status()) == result_code::frame_corrupt);
}

TEST_CASE("the buffer grows only as bytes arrive", "[wire]") {
  wire::frame_reader reader;
  const auto capacity = reader.capacity();
  wire::call_request request;
  request.body = std::string(wire::max_body_bytes, 'b');
  const auto frames = read_all(reader, wire::encode(request).substr(0, 100), 100);
  CHECK(frames.empty());
  CHECK(reader.has_partial_frame());
  CHECK(reader.capacity() == capacity);
}

TEST_CASE("memory for a large frame is released", "[wire]") {
  wire::frame_reader reader;
  const auto capacity = reader.capacity();
  wire::call_request request;
  request.body = std::string(wire::max_body_bytes, 'b');
  CHECK(read_all(reader, wire::encode(request), 65536).size() == 1);
  reader.prepare();
  CHECK(reader.capacity() == capacity);
}

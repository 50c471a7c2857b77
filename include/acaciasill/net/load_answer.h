#ifndef ACACIASILL_NET_LOAD_ANSWER_H
#define ACACIASILL_NET_LOAD_ANSWER_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

// The answer that the stand-in backend server gives and the load tool verifies: it names the
// request that it belongs to and ends with a checksum, so that a foreign or cut answer is noticed.
namespace acaciasill::net {

// What an answer says of the request that it belongs to.
struct load_answer {
  std::string request_id;
  std::string service;
  // The hash of the request's body.
  std::uint64_t body_hash = 0;

  bool operator==(const load_answer&) const = default;
};

// What the check of an answer found.
enum class answer_check : std::uint8_t {
  whole,   // The answer is complete and belongs to the request.
  cut,     // The answer is not complete.
  foreign, // The answer is complete but belongs to another request.
};

// The text of an answer with this many bytes of filling.
std::string format_answer(const load_answer& answer, std::size_t fill_bytes);

// Checks an answer's text against the request's id and the hash of its body.
answer_check check_answer(std::string_view text, std::string_view request_id,
                          std::uint64_t body_hash);

} // namespace acaciasill::net

#endif

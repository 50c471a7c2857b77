#ifndef ACACIASILL_NET_LOAD_ANSWER_H
#define ACACIASILL_NET_LOAD_ANSWER_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

// Response body that the stand-in backend server sends and the load tool verifies. It identifies
// the request that it answers and ends with a checksum, so that misrouted and truncated responses
// are detected.
namespace acaciasill::net {

// Fields of an answer that identify its request.
struct load_answer {
  std::string request_id;
  std::string service;
  // Hash of the request body.
  std::uint64_t body_hash = 0;

  bool operator==(const load_answer&) const = default;
};

// Result of verifying an answer.
enum class answer_check : std::uint8_t {
  intact,     // The checksum matches and the answer belongs to the request.
  truncated,  // The answer is truncated or its checksum does not match.
  mismatched, // The checksum matches but the answer belongs to another request.
};

// Serialises an answer and adds the given number of padding bytes.
std::string format_answer(const load_answer& answer, std::size_t padding_bytes);

// Verifies an answer against the id of its request and the hash of the request body.
answer_check check_answer(std::string_view text, std::string_view request_id,
                          std::uint64_t body_hash);

} // namespace acaciasill::net

#endif
